#include <LibCore/SettingsReader.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace Sapphire {

namespace {

std::string rangeText(const std::string &kind, const std::string &least, const std::string &most)
{
    return kind + " from " + least + " to " + most;
}

} // namespace

SettingsReader::SettingsReader(Poco::JSON::Object::Ptr object, std::string path,
                               std::shared_ptr<std::vector<std::string>> faults)
    : m_object(std::move(object)), m_path(std::move(path)), m_faults(std::move(faults))
{
}

Result<SettingsReader> SettingsReader::create(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var parsed = parser.parse(text);
        if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
            return fail(ErrorCode::InvalidArgument, "expected a JSON object");
        }
        return SettingsReader(parsed.extract<Poco::JSON::Object::Ptr>(), "",
                              std::make_shared<std::vector<std::string>>());
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::InvalidArgument, "not valid JSON: " + exception.displayText());
    }
}

std::string SettingsReader::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

bool SettingsReader::has(const std::string &name) const
{
    return m_object->has(name) && !m_object->isNull(name);
}

std::vector<std::string> SettingsReader::memberNames() const
{
    return m_object->getNames();
}

void SettingsReader::reject(const std::string &name, const std::string &found, const std::string &expected)
{
    m_faults->push_back(pathOf(name) + ": found " + found + ", expected " + expected);
}

bool SettingsReader::isPresent(const std::string &name, bool isRequired, const std::string &expected)
{
    m_known.insert(name);
    if (has(name)) {
        return true;
    }
    if (isRequired) {
        reject(name, "nothing", expected);
    }
    return false;
}

std::string SettingsReader::requiredText(const std::string &name)
{
    if (!isPresent(name, true, "a text")) {
        return {};
    }
    std::string value = text(name, "");
    if (value.empty() && m_object->get(name).isString()) {
        reject(name, "an empty text", "a text");
    }
    return value;
}

std::string SettingsReader::text(const std::string &name, const std::string &defaultValue)
{
    if (!isPresent(name, false, "")) {
        return defaultValue;
    }
    const Poco::Dynamic::Var value = m_object->get(name);
    if (!value.isString()) {
        reject(name, value.toString(), "a text");
        return defaultValue;
    }
    return value.extract<std::string>();
}

std::int64_t SettingsReader::requiredInteger(const std::string &name, std::int64_t least, std::int64_t most)
{
    if (!isPresent(name, true, rangeText("a whole number", std::to_string(least), std::to_string(most)))) {
        return least;
    }
    return integer(name, least, most, least);
}

std::int64_t SettingsReader::integer(const std::string &name, std::int64_t least, std::int64_t most,
                                     std::int64_t defaultValue)
{
    if (!isPresent(name, false, "")) {
        return defaultValue;
    }
    const Poco::Dynamic::Var value = m_object->get(name);
    if (value.isInteger() && !value.isBoolean()) {
        const auto number = value.convert<std::int64_t>();
        if (number >= least && number <= most) {
            return number;
        }
    }
    reject(name, value.toString(), rangeText("a whole number", std::to_string(least), std::to_string(most)));
    return defaultValue;
}

double SettingsReader::number(const std::string &name, double least, double most, double defaultValue)
{
    if (!isPresent(name, false, "")) {
        return defaultValue;
    }
    const Poco::Dynamic::Var value = m_object->get(name);
    if (value.isNumeric() && !value.isBoolean()) {
        const auto number = value.convert<double>();
        if (number >= least && number <= most) {
            return number;
        }
    }
    reject(name, value.toString(), rangeText("a number", std::to_string(least), std::to_string(most)));
    return defaultValue;
}

bool SettingsReader::boolean(const std::string &name, bool defaultValue)
{
    if (!isPresent(name, false, "")) {
        return defaultValue;
    }
    const Poco::Dynamic::Var value = m_object->get(name);
    if (!value.isBoolean()) {
        reject(name, value.toString(), "true or false");
        return defaultValue;
    }
    return value.convert<bool>();
}

Milliseconds SettingsReader::milliseconds(const std::string &name, Milliseconds least, Milliseconds most,
                                          Milliseconds defaultValue)
{
    return Milliseconds(integer(name, least.count(), most.count(), defaultValue.count()));
}

std::vector<std::string> SettingsReader::texts(const std::string &name)
{
    std::vector<std::string> result;
    if (!isPresent(name, false, "")) {
        return result;
    }
    const Poco::JSON::Array::Ptr array = m_object->getArray(name);
    if (array.isNull()) {
        reject(name, m_object->get(name).toString(), "an array of texts");
        return result;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
        if (value.isString()) {
            result.push_back(value.extract<std::string>());
        } else {
            reject(name + "[" + std::to_string(i) + "]", value.toString(), "a text");
        }
    }
    return result;
}

SettingsReader SettingsReader::object(const std::string &name)
{
    Poco::JSON::Object::Ptr member;
    if (isPresent(name, true, "an object")) {
        member = m_object->getObject(name);
        if (member.isNull()) {
            reject(name, m_object->get(name).toString(), "an object");
        }
    }
    if (member.isNull()) {
        member = new Poco::JSON::Object;
    }
    return { member, pathOf(name), m_faults };
}

std::vector<SettingsReader> SettingsReader::objects(const std::string &name)
{
    std::vector<SettingsReader> result;
    if (!isPresent(name, false, "")) {
        return result;
    }
    const Poco::JSON::Array::Ptr array = m_object->getArray(name);
    if (array.isNull()) {
        reject(name, m_object->get(name).toString(), "an array of objects");
        return result;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string element = name + "[" + std::to_string(i) + "]";
        const Poco::JSON::Object::Ptr member = array->getObject(static_cast<unsigned>(i));
        if (member.isNull()) {
            reject(element, array->get(static_cast<unsigned>(i)).toString(), "an object");
            continue;
        }
        result.push_back(SettingsReader(member, pathOf(element), m_faults));
    }
    return result;
}

void SettingsReader::rejectUnknownMembers()
{
    for (const std::string &name : m_object->getNames()) {
        if (!m_known.contains(name)) {
            m_faults->push_back(pathOf(name) + ": unknown member");
        }
    }
}

Result<void> SettingsReader::finish() const
{
    if (m_faults->empty()) {
        return {};
    }
    std::string message;
    for (const std::string &fault : *m_faults) {
        message += message.empty() ? fault : "\n" + fault;
    }
    return fail(ErrorCode::InvalidArgument, message);
}

} // namespace Sapphire
