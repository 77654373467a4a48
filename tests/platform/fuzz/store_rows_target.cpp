#include "fuzz/fuzz_target.h"
#include "platform/base64.h"
#include "platform/row_decoder.h"
#include "platform/store_client.h"

#include <nlohmann/json.hpp>

using namespace knapweed;

namespace {

using nlohmann::json;

/** Parses the input as an answer of the store. */
void parse_answer(const std::string& body)
{
    platform::read_result result;
    result.version = 7;
    result.rows = {{"known", "value", 7, false}};
    if (!platform::parse_rows(body, result)) {
        fuzz::require(result.version == 7 && result.rows.size() == 1, "a refused answer changes nothing");
        return;
    }
    fuzz::require(!result.rows.empty() && result.rows.front().key == "known", "rows are appended");
    for (const auto& row : result.rows) {
        fuzz::require(!row.removed || row.value.empty(), "a removed row has no value");
        const auto data_centre = platform::decode_evacuation(row.key);
        fuzz::require(!data_centre || "evacuate/" + data_centre->str() == row.key,
                      "an evacuation names the data centre of its key");
    }
}

/** Parses an answer whose middle row has the input as its value. */
void parse_between_sound_rows(const std::string& value)
{
    const json sound{{"key", "sound"}, {"ver", 3}, {"value", platform::encode_base64("entry")}};
    const json odd{{"key", "odd"}, {"ver", 4}, {"value", value}};
    const json answer{{"ver", 9}, {"rows", {sound, odd, sound}}};
    platform::read_result result;
    const auto more =
        platform::parse_rows(answer.dump(-1, ' ', false, json::error_handler_t::replace), result);
    fuzz::require(more == false && result.version == 9 && result.rows.size() == 3, "all rows are read");
    for (const std::size_t i : {0U, 2U})
        fuzz::require(result.rows[i].key == "sound" && result.rows[i].value == "entry" &&
                          result.rows[i].version == 3 && !result.rows[i].removed,
                      "an odd row leaves the others as they are");
}

} // namespace

// Guards against an answer of the store that is read in part, and a row that changes others.
void fuzz::run_input(std::string_view input)
{
    parse_answer(std::string(input));
    parse_between_sound_rows(std::string(input));
}
