#include <LibPlatform/HttpVmDirectory.h>

#include <LibPlatform/AnswerStatus.h>
#include <LibPlatform/VmListText.h>

namespace Sapphire {

HttpVmDirectory::HttpVmDirectory(std::unique_ptr<PlatformChannel> channel) : m_channel(std::move(channel))
{
}

Result<std::unique_ptr<HttpVmDirectory>> HttpVmDirectory::create(const PlatformClientSettings &settings)
{
    BOOST_LEAF_AUTO(channel, PlatformChannel::create(settings));
    return std::unique_ptr<HttpVmDirectory>(new HttpVmDirectory(std::move(channel)));
}

Result<std::vector<ListedVm>> HttpVmDirectory::list(Deadline deadline)
{
    const PlatformRequest request { "GET", "/vms", {}, {}, {} };
    BOOST_LEAF_AUTO(answer, m_channel->call(request, deadline));
    BOOST_LEAF_CHECK(checkAnswer(request, answer));
    return parseVmList(answer.body);
}

} // namespace Sapphire
