#include "fuzz/fuzz_target.h"
#include "platform/base64.h"

using namespace knapweed;

// Guards against a value that is decoded to other bytes than were encoded, or from more than one text.
void fuzz::run_input(std::string_view input)
{
    require(platform::decode_base64(platform::encode_base64(input)) == input, "decode(encode(x)) is x");
    if (const auto bytes = platform::decode_base64(input))
        require(platform::encode_base64(*bytes) == input, "encode(decode(x)) is x");
}
