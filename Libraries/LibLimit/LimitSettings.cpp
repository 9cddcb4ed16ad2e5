#include <LibLimit/LimitSettings.h>

namespace Sapphire {

LimitSettings LimitSettings::read(SettingsReader &reader)
{
    LimitSettings settings;
    const std::string policy = reader.text("policy", "shares");
    if (policy == "equalSplit") {
        settings.policy = LimitPolicy::EqualSplit;
    } else if (policy != "shares") {
        reader.reject("policy", policy, "shares or equalSplit");
    }
    settings.localLoan = reader.milliseconds("localLoanMs", Milliseconds(10), Milliseconds(4'000), settings.localLoan);
    settings.remoteLoan =
        reader.milliseconds("remoteLoanMs", Milliseconds(10), Milliseconds(4'000), settings.remoteLoan);
    settings.longestTokenWait =
        reader.milliseconds("longestTokenWaitMs", Milliseconds(0), Milliseconds(5'000), settings.longestTokenWait);
    settings.localLoanTimeout =
        reader.milliseconds("localLoanTimeoutMs", Milliseconds(1), Milliseconds(1'000), settings.localLoanTimeout);
    settings.remoteLoanTimeout =
        reader.milliseconds("remoteLoanTimeoutMs", Milliseconds(1), Milliseconds(2'000), settings.remoteLoanTimeout);
    settings.leastTimeForRemoteLoan = reader.milliseconds("leastTimeForRemoteLoanMs", Milliseconds(0),
                                                          Milliseconds(5'000), settings.leastTimeForRemoteLoan);
    settings.holderReadInterval = reader.milliseconds("holderReadIntervalMs", Milliseconds(200), Milliseconds(60'000),
                                                      settings.holderReadInterval);
    settings.otherReadInterval = reader.milliseconds("otherReadIntervalMs", Milliseconds(1'000), Milliseconds(600'000),
                                                     settings.otherReadInterval);
    settings.allotment.leastInterval = reader.milliseconds("leastWriteIntervalMs", Milliseconds(500),
                                                           Milliseconds(600'000), settings.allotment.leastInterval);
    settings.homeSet.requestsPerSecondPerHome =
        reader.number("requestsPerSecondPerHome", 1, 1e6, settings.homeSet.requestsPerSecondPerHome);
    reader.rejectUnknownMembers();
    return settings;
}

} // namespace Sapphire
