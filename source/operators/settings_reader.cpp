#include "operators/settings_reader.h"

#include "state/configuration_rules.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace knapweed::operators {

namespace {

namespace pt = boost::property_tree;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/** Line numbers of the sections and keys, which Boost.PropertyTree does not provide. */
class line_index {
public:
    explicit line_index(const std::string& text)
    {
        std::istringstream lines(text);
        std::string line;
        std::string section;
        while (std::getline(lines, line)) {
            ++last_line_;
            const auto content = trim(line);
            if (content.starts_with('[')) {
                section = trim(content.substr(1, content.find(']') - 1));
                lines_.emplace(std::pair(section, ""), last_line_);
            }
            else if (content.find('=') != std::string::npos) {
                lines_.emplace(std::pair(section, trim(content.substr(0, content.find('=')))), last_line_);
            }
        }
    }

    /** @returns the line of a key, else that of its section, else the last line. */
    [[nodiscard]] unsigned find(const std::string& section, const std::string& key) const
    {
        for (const auto& place : {std::pair(section, key), std::pair(section, std::string())}) {
            if (const auto found = lines_.find(place); found != lines_.end())
                return found->second;
        }
        return std::max(last_line_, 1U);
    }

    /** @returns the sections of the text, including empty ones, which Boost.PropertyTree omits. */
    [[nodiscard]] std::vector<std::string> sections() const
    {
        std::vector<std::string> names;
        for (const auto& [place, line] : lines_) {
            if (place.second.empty() && !place.first.empty())
                names.push_back(place.first);
        }
        return names;
    }

private:
    static std::string trim(const std::string& text)
    {
        const auto start = text.find_first_not_of(" \t\r");
        if (start == std::string::npos)
            return {};
        return text.substr(start, text.find_last_not_of(" \t\r") - start + 1);
    }

    std::map<std::pair<std::string, std::string>, unsigned> lines_;
    unsigned last_line_ = 0;
};

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_to, failure] = std::from_chars(text.data(), end, value);
    if (text.empty() || failure != std::errc{} || parsed_to != end)
        return std::nullopt;
    return value;
}

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    auto host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    const auto port = parse_number(text.substr(colon + 1));
    return !error && port && *port <= 65535;
}

/** Reads and checks the settings of one text. */
class settings_parser {
public:
    settings_parser(const std::string& text, std::string file) : file_(std::move(file)), lines_(text)
    {
        std::istringstream input(text);
        try {
            pt::read_ini(input, tree_);
        }
        catch (const pt::ini_parser_error& error) {
            result_.errors.push_back({file_, static_cast<unsigned>(error.line()), error.message()});
        }
    }

    settings_result read()
    {
        if (!result_.errors.empty())
            return std::move(result_);
        check_names();
        const auto* sections = result_.settings.GetDescriptor();
        for (int i = 0; i < sections->field_count(); ++i)
            read_section(*sections->field(i));
        if (result_.errors.empty())
            check_relations();
        return std::move(result_);
    }

private:
    void fail(const std::string& section, const std::string& key, const std::string& message)
    {
        result_.errors.push_back({file_, lines_.find(section, key), message});
    }

    void fail_unknown(const std::string& section, const std::string& key)
    {
        fail(section, key, "unknown key '" + key + "' in section '" + section + "'");
    }

    void check_names()
    {
        const auto* sections = result_.settings.GetDescriptor();
        for (const auto& section : lines_.sections()) {
            if (sections->FindFieldByName(section) == nullptr)
                fail(section, "", "unknown section '" + section + "'");
        }
        for (const auto& [section, content] : tree_) {
            if (content.empty() && !content.data().empty()) {
                fail("", section, "key '" + section + "' stands before the first section");
                continue;
            }
            const auto* known = sections->FindFieldByName(section);
            if (known == nullptr)
                continue;
            for (const auto& [key, value] : content) {
                if (known->message_type()->FindFieldByName(key) == nullptr)
                    fail_unknown(section, key);
            }
        }
    }

    void read_section(const FieldDescriptor& section)
    {
        auto* target = result_.settings.GetReflection()->MutableMessage(&result_.settings, &section);
        const auto found = tree_.find(section.name());
        const auto* keys = section.message_type();
        for (int i = 0; i < keys->field_count(); ++i) {
            const auto& key = *keys->field(i);
            std::optional<std::string> given;
            if (found != tree_.not_found()) {
                if (const auto value = found->second.find(key.name()); value != found->second.not_found())
                    given = value->second.data();
            }
            read_key(section.name(), key, given, *target);
        }
    }

    void read_key(const std::string& section, const FieldDescriptor& key,
                  const std::optional<std::string>& given, Message& target)
    {
        const auto& options = key.options().GetExtension(wire::setting);
        if (!given && options.required()) {
            fail(section, key.name(),
                 "missing required key '" + key.name() + "' in section '" + section + "'");
            return;
        }
        const auto text = given.value_or(options.default_value());
        const auto unmet_requirement = key.cpp_type() == FieldDescriptor::CPPTYPE_STRING
                                           ? set_text(section, key, text, target)
                                           : set_number(key, options, text, target);
        if (!unmet_requirement.empty())
            fail(section, key.name(), "'" + key.name() + "' " + unmet_requirement + ", not '" + text + "'");
    }

    /** Stores a text value.
        @returns the requirement that the value does not meet, or an empty text when it is valid. */
    static std::string set_text(const std::string& section, const FieldDescriptor& key,
                                const std::string& text, Message& target)
    {
        const auto& options = key.options().GetExtension(wire::setting);
        if (options.unit() == "ip:port" && !is_address(text))
            return "must be an IP address and port such as 127.0.0.1:7001";
        if (options.unit().empty() && options.required() && !state::is_name(text))
            return "must be 1 to 64 characters of [A-Za-z0-9._-]";
        if (section == "log" && key.name() == "level" && text != "debug" && text != "info" &&
            text != "warn" && text != "error")
            return "must be debug, info, warn or error";
        target.GetReflection()->SetString(&target, &key, text);
        return {};
    }

    static std::string set_number(const FieldDescriptor& key, const wire::setting_options& options,
                                  const std::string& text, Message& target)
    {
        const auto number = parse_number(text);
        if (!number || *number < options.min() || *number > options.max()) {
            return "must be a number of " + options.unit() + " from " + std::to_string(options.min()) +
                   " to " + std::to_string(options.max());
        }
        if (key.cpp_type() == FieldDescriptor::CPPTYPE_UINT32)
            target.GetReflection()->SetUInt32(&target, &key, static_cast<std::uint32_t>(*number));
        else
            target.GetReflection()->SetUInt64(&target, &key, *number);
        return {};
    }

    void check_relations()
    {
        const auto& steering = result_.settings.steering();
        if (steering.suspect_after_ms() <= steering.heartbeat_interval_ms())
            fail("steering", "suspect_after_ms", "'suspect_after_ms' must exceed 'heartbeat_interval_ms'");
        if (steering.fail_after_ms() <= steering.suspect_after_ms())
            fail("steering", "fail_after_ms", "'fail_after_ms' must exceed 'suspect_after_ms'");
    }

    std::string file_;
    line_index lines_;
    pt::ptree tree_;
    settings_result result_;
};

} // namespace

std::string to_string(const setting_error& error)
{
    return error.file + ":" + std::to_string(error.line) + ": " + error.message;
}

settings_result parse_settings(const std::string& text, const std::string& file)
{
    return settings_parser(text, file).read();
}

settings_result read_settings(const std::string& file)
{
    std::ifstream input(file);
    std::ostringstream text;
    if (input)
        text << input.rdbuf();
    if (!input || !text) {
        settings_result result;
        result.errors.push_back({file, 0, "the file can't be read"});
        return result;
    }
    return parse_settings(text.str(), file);
}

} // namespace knapweed::operators
