#include "state/configuration_json.h"

#include "core/ensure.h"

#include <google/protobuf/util/json_util.h>

namespace knapweed::state {

std::string to_json(const wire::configuration& configuration)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string json;
    const auto status = google::protobuf::util::MessageToJsonString(configuration, &json, options);
    core::ensure(status.ok(), "every configuration can be written as JSON");
    return json;
}

std::optional<wire::configuration> parse_configuration(std::string_view json, std::string* error)
{
    wire::configuration configuration;
    const auto status = google::protobuf::util::JsonStringToMessage(std::string{json}, &configuration);
    if (status.ok())
        return configuration;
    if (error != nullptr)
        *error = status.ToString();
    return std::nullopt;
}

} // namespace knapweed::state
