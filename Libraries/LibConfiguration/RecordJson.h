#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/SettingsReader.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <charconv>
#include <limits>

namespace Sapphire {

/// Reads and writes the JSON members that commands and snapshots have in common. Only for the .cpp files of codecs.
namespace RecordJson {

inline constexpr std::int64_t largestInteger = std::numeric_limits<std::int64_t>::max();

template<typename Id>
Id idFrom(SettingsReader &reader, const std::string &name)
{
    return Id(reader.requiredText(name));
}

inline ConfigurationVersion versionFrom(SettingsReader &reader, const std::string &name)
{
    return ConfigurationVersion(static_cast<std::uint64_t>(reader.requiredInteger(name, 0, largestInteger)));
}

inline double numberFrom(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        reader.reject(name, "nothing", "a number");
    }
    constexpr double largest = std::numeric_limits<double>::max();
    return reader.number(name, -largest, largest, 0);
}

inline bool booleanFrom(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        reader.reject(name, "nothing", "true or false");
    }
    return reader.boolean(name, false);
}

inline int intFrom(SettingsReader &reader, const std::string &name)
{
    return static_cast<int>(reader.requiredInteger(name, 0, std::numeric_limits<int>::max()));
}

/// Parses a text that consists of the decimal digits of one whole number.
inline std::optional<std::uint64_t> digitsFrom(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Incarnations may use all 64 bits. Not all JSON implementations keep those in a number, so they are encoded as
/// strings of digits.
inline Incarnation incarnationFrom(SettingsReader &reader, const std::string &name)
{
    const std::string text = reader.requiredText(name);
    const auto value = digitsFrom(text);
    if (!value && !text.empty()) {
        reader.reject(name, text, "digits");
    }
    return Incarnation(value.value_or(0));
}

Poco::JSON::Array::Ptr regionsToJson(const std::vector<RegionId> &regions);
std::vector<RegionId> regionsFrom(SettingsReader &reader, const std::string &name);

/// Add the members of a record, but for its last change.
void addService(Poco::JSON::Object &object, const ServiceRecord &service);
void addTarget(Poco::JSON::Object &object, const TargetRecord &target);
ServiceRecord serviceFrom(SettingsReader &reader);
TargetRecord targetFrom(SettingsReader &reader);

} // namespace RecordJson

} // namespace Sapphire
