#include <SapphireSlopes/LookUpBench.h>

namespace Sapphire {

namespace {

const CustomerId customer("bodega-andina");

} // namespace

LookUpBench::LookUpBench(const VmIncarnation &process, const Locality &locality, const Roster &roster,
                         const Clock &rosterClock)
    : m_ledger(m_claims, m_journal, m_clock, { process })
    , m_limiter(process, locality, rosterClock, m_configuration, roster, m_loans, LimitSettings {})
    , m_lookUp({ m_configuration, roster, m_limiter, m_ledger, rosterClock }, { process, locality })
{
    setBlocks(1);
    m_limiter.refresh(rosterClock.now());
}

void LookUpBench::setBlocks(std::size_t blocks)
{
    Configuration configuration;
    configuration.version = m_configuration.configuration()->version.next();
    configuration.customers[customer] = { customer, 1'000, 1'000, {} };
    std::vector<std::pair<std::string, ClientBlockRecord>> records;
    for (std::size_t i = 0; i < blocks; ++i) {
        const std::string prefix = std::to_string(11 + (i >> 16U)) + "." + std::to_string(i >> 8U & 255U) + "."
            + std::to_string(i & 255U) + ".0/24";
        records.emplace_back(prefix, ClientBlockRecord { prefix, RegionId("region-" + std::to_string(i % 5)), {} });
    }
    configuration.clientBlocks = CopyOnWriteMap<std::string, ClientBlockRecord>(std::move(records));
    m_configuration.set(std::move(configuration));
}

void LookUpBench::change()
{
    Configuration next = *m_configuration.configuration();
    next.version = next.version.next();
    m_configuration.set(std::move(next));
}

bool LookUpBench::lookUp() const
{
    return !m_lookUp.answer(customer, "11.0.0.7").vms.empty();
}

} // namespace Sapphire
