#include <LibPlatform/HttpObjectStore.h>

#include <LibPlatform/AnswerStatus.h>
#include <LibPlatform/PercentEncoding.h>

namespace Sapphire {

HttpObjectStore::HttpObjectStore(std::unique_ptr<PlatformChannel> channel) : m_channel(std::move(channel))
{
}

Result<std::unique_ptr<HttpObjectStore>> HttpObjectStore::create(const PlatformClientSettings &settings)
{
    BOOST_LEAF_AUTO(channel, PlatformChannel::create(settings));
    return std::unique_ptr<HttpObjectStore>(new HttpObjectStore(std::move(channel)));
}

Result<std::string> HttpObjectStore::read(const std::string &key, Deadline deadline)
{
    const PlatformRequest request { "GET", "/objects/" + percentEncode(key), {}, {}, {} };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    BOOST_LEAF_CHECK(checkAnswer(request, answer));
    return std::move(answer.body);
}

Result<void> HttpObjectStore::write(const std::string &key, const std::string &content, Deadline deadline)
{
    const PlatformRequest request { "PUT", "/objects/" + percentEncode(key), {}, {}, content };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    return checkAnswer(request, answer);
}

} // namespace Sapphire
