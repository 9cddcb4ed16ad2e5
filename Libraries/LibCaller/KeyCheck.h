#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibExchange/Refusal.h>

#include <string_view>
#include <variant>

namespace Sapphire {

/// Finds the customer whose key came with a request. Checked on each request, never once per connection.
class KeyCheck
{
public:
    explicit KeyCheck(const ConfigurationSource &configuration);

    /// Takes the value of the Authorization header: "Bearer KEYID.SECRET".
    /// Refuses with KeyRejected, or with NotFresh if this VM can't know whether the key was withdrawn.
    std::variant<CustomerId, Refusal> check(std::string_view authorization, TimePoint now) const;

private:
    const ConfigurationSource &m_configuration;
};

} // namespace Sapphire
