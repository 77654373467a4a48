#include "gateway/field_names.h"

#include <algorithm>
#include <cctype>

namespace knapweed::gateway {

bool is_same_field(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

} // namespace knapweed::gateway
