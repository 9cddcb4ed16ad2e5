#include <LibPlatform/RowList.h>

#include <LibCore/EventLog.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/MalformedAnswer.h>
#include <LibPlatform/PercentEncoding.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

#include <optional>
#include <sstream>

namespace Sapphire {

namespace {

std::optional<std::string> base64Decode(const std::string &text)
{
    std::istringstream source(text);
    Poco::Base64Decoder decoder(source);
    std::string bytes;
    try {
        Poco::StreamCopier::copyToString(decoder, bytes);
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    // For an invalid character, the decoder sets the stream's bad state instead of throwing.
    if (decoder.bad()) {
        return std::nullopt;
    }
    return bytes;
}

Row readRow(SettingsReader &reader)
{
    Row row;
    const std::string key = reader.requiredText("key");
    const std::string value = reader.text("value", "");
    row.tag = RowTag(reader.requiredText("tag"));
    const auto decodedKey = percentDecode(key);
    if (!decodedKey) {
        reader.reject("key", key, "a percent-encoded text");
    }
    const auto decodedValue = base64Decode(value);
    if (!decodedValue) {
        reader.reject("value", "a text", "base64");
    }
    row.key = decodedKey.value_or("");
    row.value = decodedValue.value_or("");
    return row;
}

Result<std::vector<Row>> readRows(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    std::vector<Row> rows;
    for (SettingsReader &element : reader.objects("rows")) {
        rows.push_back(readRow(element));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return rows;
}

} // namespace

Result<std::vector<Row>> parseRowList(const std::string &text)
{
    return requireWellFormed("row list", capture([&] {
                                 return readRows(text);
                             }));
}

std::string rowListText(const std::vector<Row> &rows)
{
    std::string text = "{\"rows\":[";
    for (const Row &row : rows) {
        if (text.back() == '}') {
            text += ',';
        }
        text += "{\"key\":" + quoteJson(percentEncode(row.key)) + ",\"value\":" + quoteJson(base64Encode(row.value))
            + ",\"tag\":" + quoteJson(row.tag.text()) + "}";
    }
    return text + "]}";
}

std::string base64Encode(const std::string &bytes)
{
    std::ostringstream encoded;
    Poco::Base64Encoder encoder(encoded);
    encoder.rdbuf()->setLineLength(0);
    encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return encoded.str();
}

} // namespace Sapphire
