#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Reads one JSON object and collects every fault with its path, the value found and what was expected,
/// so that all faults of a settings file are reported at once. A faulty value reads as the default.
class SettingsReader
{
public:
    /// Parses the text. Fails with InvalidArgument if it is not a JSON object.
    [[nodiscard]] static Result<SettingsReader> create(const std::string &text);

    std::string requiredText(const std::string &name);
    std::string text(const std::string &name, const std::string &defaultValue);
    std::int64_t requiredInteger(const std::string &name, std::int64_t least, std::int64_t most);
    std::int64_t integer(const std::string &name, std::int64_t least, std::int64_t most, std::int64_t defaultValue);
    double number(const std::string &name, double least, double most, double defaultValue);
    bool boolean(const std::string &name, bool defaultValue);
    /// Reads a whole number of milliseconds.
    Milliseconds milliseconds(const std::string &name, Milliseconds least, Milliseconds most,
                              Milliseconds defaultValue);
    std::vector<std::string> texts(const std::string &name);

    bool has(const std::string &name) const;
    /// Returns the names of all members, for objects that serve as maps.
    std::vector<std::string> memberNames() const;
    /// Returns a reader of the member object; a missing one is a fault and reads as empty.
    SettingsReader object(const std::string &name);
    /// Returns a reader for each object of the member array; a missing member reads as an empty array.
    std::vector<SettingsReader> objects(const std::string &name);

    /// Adds a fault found by the caller to the list.
    void reject(const std::string &name, const std::string &found, const std::string &expected);
    /// Reports each member that was never read as a fault. To be called after all reads.
    void rejectUnknownMembers();
    /// Fails with InvalidArgument, with a line per fault, if any reader of the same document found a fault.
    [[nodiscard]] Result<void> finish() const;

private:
    SettingsReader(Poco::JSON::Object::Ptr object, std::string path, std::shared_ptr<std::vector<std::string>> faults);

    std::string pathOf(const std::string &name) const;
    bool isPresent(const std::string &name, bool isRequired, const std::string &expected);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    std::shared_ptr<std::vector<std::string>> m_faults;
    std::set<std::string> m_known;
};

} // namespace Sapphire
