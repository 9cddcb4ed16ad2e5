#include <LibRequest/RequestRecord.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <sstream>

namespace Sapphire {

namespace {

constexpr std::array<std::string_view, 4> stateNames { "not-run", "running", "ran", "may-have-run" };

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    return { std::istreambuf_iterator<char>(decoder), {} };
}

Poco::JSON::Object::Ptr answerObject(const RecordedAnswer &answer)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    Poco::JSON::Array::Ptr headers(new Poco::JSON::Array);
    for (const HeaderField &header : answer.headers) {
        Poco::JSON::Array::Ptr pair(new Poco::JSON::Array);
        pair->add(header.name);
        pair->add(header.value);
        headers->add(pair);
    }
    object->set("status", answer.status);
    object->set("headers", headers);
    object->set("body", encodeBase64(answer.body));
    object->set("isWhole", answer.isWhole);
    object->set("target", answer.target.text());
    return object;
}

RecordedAnswer answerFrom(const Poco::JSON::Object::Ptr &object)
{
    RecordedAnswer answer;
    answer.status = object->getValue<int>("status");
    const Poco::JSON::Array::Ptr headers = object->getArray("headers");
    for (unsigned i = 0; i < headers->size(); ++i) {
        const Poco::JSON::Array::Ptr pair = headers->getArray(i);
        answer.headers.push_back({ pair->getElement<std::string>(0), pair->getElement<std::string>(1) });
    }
    answer.body = decodeBase64(object->getValue<std::string>("body"));
    answer.isWhole = object->getValue<bool>("isWhole");
    answer.target = TargetId(object->getValue<std::string>("target"));
    return answer;
}

} // namespace

std::string_view nameOf(RequestState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::optional<RequestState> requestStateFromString(std::string_view text)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames.at(i) == text) {
            return static_cast<RequestState>(i);
        }
    }
    return std::nullopt;
}

std::string RequestRecord::toJson() const
{
    Poco::JSON::Object object;
    object.set("state", std::string(nameOf(state)));
    object.set("vm", holder.vm.text());
    object.set("incarnation", holder.incarnation.value());
    object.set("attempt", attempt);
    object.set("nonce", nonce);
    if (state == RequestState::Ran) {
        object.set("answer", answerObject(answer));
    }
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Result<RequestRecord> RequestRecord::fromJson(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        RequestRecord record;
        const std::optional<RequestState> state = requestStateFromString(object->getValue<std::string>("state"));
        if (!state) {
            return fail(ErrorCode::DataLoss, "unknown request state in a stored record");
        }
        record.state = *state;
        record.holder = { VmId(object->getValue<std::string>("vm")),
                          Incarnation(object->getValue<std::uint64_t>("incarnation")) };
        record.attempt = object->getValue<std::uint64_t>("attempt");
        record.nonce = object->getValue<std::string>("nonce");
        if (record.state == RequestState::Ran) {
            record.answer = answerFrom(object->getObject("answer"));
        }
        return record;
    } catch (const std::exception &exception) {
        return fail(ErrorCode::DataLoss, std::string("malformed request record: ") + exception.what());
    }
}

} // namespace Sapphire
