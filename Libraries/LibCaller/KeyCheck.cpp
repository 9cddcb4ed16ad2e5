#include <LibCaller/KeyCheck.h>

#include <LibCaller/StaleRetryDelay.h>
#include <LibCore/Hash.h>

namespace Sapphire {

namespace {

constexpr std::string_view scheme = "Bearer ";

Refusal rejected(const std::string &detail)
{
    return { RefusalReason::KeyRejected, Verdict::NotRun, detail, {}, {} };
}

} // namespace

KeyCheck::KeyCheck(const ConfigurationSource &configuration) : m_configuration(configuration)
{
}

std::variant<CustomerId, Refusal> KeyCheck::check(std::string_view authorization, TimePoint now) const
{
    if (!authorization.starts_with(scheme)) {
        return rejected("an Authorization header with a bearer key is required");
    }
    const std::string_view key = authorization.substr(scheme.size());
    const std::size_t dot = key.find('.');
    if (dot == std::string_view::npos) {
        return rejected("the key is not of the form KEYID.SECRET");
    }
    if (!m_configuration.isFresh(now)) {
        return Refusal { RefusalReason::NotFresh,
                         Verdict::NotRun,
                         "this VM currently can't tell whether keys were withdrawn",
                         Deadline::after(now, staleRetryDelay),
                         {} };
    }
    const KeyId id(std::string(key.substr(0, dot)));
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    const auto found = configuration->keys.find(id);
    const bool isKnown = found != configuration->keys.end();
    // The hash is computed for unknown ids too, so that the response time doesn't reveal whether an id exists.
    const std::string hash = sha256Hex(key.substr(dot + 1));
    if (!isKnown || !constantTimeEquals(hash, found->second.secretHash) || m_configuration.isWithdrawn(id)) {
        return rejected("the key is unknown or withdrawn");
    }
    return found->second.customer;
}

} // namespace Sapphire
