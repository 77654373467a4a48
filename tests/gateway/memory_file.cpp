#include "memory_file.h"

#include <sys/mman.h>
#include <unistd.h>

namespace knapweed::test {

memory_file::memory_file() : descriptor_(::memfd_create("log", MFD_CLOEXEC)) {}

memory_file::~memory_file()
{
    ::close(descriptor_);
}

std::string memory_file::take()
{
    const auto size = ::lseek(descriptor_, 0, SEEK_CUR);
    std::string text(size > 0 ? static_cast<std::size_t>(size) : 0, '\0');
    const auto read = ::pread(descriptor_, text.data(), text.size(), 0);
    text.resize(read > 0 ? static_cast<std::size_t>(read) : 0);
    if (::ftruncate(descriptor_, 0) == 0)
        ::lseek(descriptor_, 0, SEEK_SET);
    return text;
}

} // namespace knapweed::test
