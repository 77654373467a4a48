#include "replication/packed_bytes.h"

#include <stdexcept>
#include <zlib.h>

namespace knapweed::replication {

namespace {

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

/** Bytes that the format can expand one byte to, rounded up; its head and tail take a few more. */
constexpr std::size_t max_expansion = 1040;

} // namespace

std::string pack(std::string_view bytes)
{
    auto size = compressBound(static_cast<uLong>(bytes.size()));
    std::string packed(size, '\0');
    const int result = compress2(reinterpret_cast<Bytef*>(packed.data()), &size, bytes_of(bytes),
                                 static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (result != Z_OK)
        throw std::runtime_error("zlib can't pack " + std::to_string(bytes.size()) + " bytes");
    packed.resize(size);
    return packed;
}

std::optional<std::string> unpack(std::string_view packed, std::size_t size)
{
    if (size / max_expansion > packed.size())
        return std::nullopt;
    std::string bytes(size, '\0');
    auto unpacked = static_cast<uLongf>(size);
    const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &unpacked, bytes_of(packed),
                                  static_cast<uLong>(packed.size()));
    if (result != Z_OK || unpacked != size)
        return std::nullopt;
    return bytes;
}

} // namespace knapweed::replication
