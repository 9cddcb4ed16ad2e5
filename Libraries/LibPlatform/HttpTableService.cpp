#include <LibPlatform/HttpTableService.h>

#include <LibPlatform/AnswerStatus.h>
#include <LibPlatform/PercentEncoding.h>
#include <LibPlatform/RowList.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr std::size_t maxKeyBytes = 512;
constexpr std::size_t maxRowsPerList = 1000;

std::string rowsPath(const TableName &table)
{
    return "/tables/" + percentEncode(table.text()) + "/rows";
}

std::string rowPath(const TableName &table, const std::string &key)
{
    return rowsPath(table) + "/" + percentEncode(key);
}

Result<void> checkKey(const std::string &key)
{
    if (key.empty() || key.size() > maxKeyBytes) {
        return fail(ErrorCode::InvalidArgument,
                    "row key: found " + std::to_string(key.size()) + " bytes, expected 1 to 512");
    }
    return {};
}

} // namespace

HttpTableService::HttpTableService(std::unique_ptr<PlatformChannel> channel) : m_channel(std::move(channel))
{
}

Result<std::unique_ptr<HttpTableService>> HttpTableService::create(const PlatformClientSettings &settings)
{
    BOOST_LEAF_AUTO(channel, PlatformChannel::create(settings));
    return std::unique_ptr<HttpTableService>(new HttpTableService(std::move(channel)));
}

Result<Row> HttpTableService::read(const TableName &table, const std::string &key, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkKey(key));
    const PlatformRequest request { "GET", rowPath(table, key), {}, {}, {} };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    BOOST_LEAF_CHECK(checkAnswer(request, answer));
    return Row { key, std::move(answer.body), RowTag(answer.entityTag) };
}

Result<std::vector<Row>> HttpTableService::list(const TableName &table, const std::string &after, std::size_t limit,
                                                Deadline deadline)
{
    const std::size_t bounded = std::min(limit, maxRowsPerList);
    const PlatformRequest request {
        "GET", rowsPath(table) + "?after=" + percentEncode(after) + "&limit=" + std::to_string(bounded), {}, {}, {},
    };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    BOOST_LEAF_CHECK(checkAnswer(request, answer));
    return parseRowList(answer.body);
}

Result<RowTag> HttpTableService::insert(const TableName &table, const std::string &key, const std::string &value,
                                        Deadline deadline)
{
    BOOST_LEAF_CHECK(checkKey(key));
    return write({ "PUT", rowPath(table, key), "If-None-Match", "*", value }, deadline);
}

Result<RowTag> HttpTableService::replace(const TableName &table, const std::string &key, const std::string &value,
                                         const RowTag &tag, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkKey(key));
    return write({ "PUT", rowPath(table, key), "If-Match", tag.text(), value }, deadline);
}

Result<void> HttpTableService::remove(const TableName &table, const std::string &key, const RowTag &tag,
                                      Deadline deadline)
{
    BOOST_LEAF_CHECK(checkKey(key));
    const PlatformRequest request { "DELETE", rowPath(table, key), "If-Match", tag.text(), {} };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    return checkAnswer(request, answer);
}

Result<RowTag> HttpTableService::write(const PlatformRequest &request, Deadline deadline)
{
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    BOOST_LEAF_CHECK(checkAnswer(request, answer));
    if (answer.entityTag.empty()) {
        return fail(ErrorCode::Unavailable, request.path + ": the answer has no ETag", Verdict::MayHaveRun);
    }
    return RowTag(answer.entityTag);
}

} // namespace Sapphire
