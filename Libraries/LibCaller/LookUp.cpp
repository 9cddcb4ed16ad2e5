#include <LibCaller/LookUp.h>

#include <LibRequest/IssuedRequestId.h>

#include <algorithm>

namespace Sapphire {

namespace {

AlternativeVm toAlternative(const RosterVm &vm)
{
    return { vm.process.vm, vm.callerAddress(), vm.locality };
}

const RosterVm &find(const std::vector<RosterVm> &vms, const VmId &id)
{
    return *std::find_if(vms.begin(), vms.end(), [&](const RosterVm &vm) {
        return vm.process.vm == id;
    });
}

} // namespace

LookUp::LookUp(Parts parts, Settings settings)
    : m_parts(parts), m_settings(std::move(settings)), m_random(RandomSource::seededBySystem())
{
}

std::optional<RegionId> LookUp::regionOf(const std::string &callerAddress) const
{
    const std::optional<AddressPrefix> address = AddressPrefix::parse(callerAddress);
    const std::shared_ptr<const Configuration> configuration = m_parts.configuration.configuration();
    const std::lock_guard guard(m_mutex);
    if (m_blocksVersion != configuration->version) {
        std::vector<ClientBlocks::Block> blocks;
        blocks.reserve(configuration->clientBlocks.size());
        for (const auto &[text, record] : configuration->clientBlocks) {
            if (const std::optional<AddressPrefix> prefix = AddressPrefix::parse(text)) {
                blocks.push_back({ *prefix, record.region });
            }
        }
        m_blocks = ClientBlocks(blocks);
        m_blocksVersion = configuration->version;
    }
    return address ? m_blocks.regionOf(address->address) : std::nullopt;
}

std::vector<LookUpCandidate> LookUp::candidates(const std::vector<RosterVm> &vms, const CustomerId &customer) const
{
    std::vector<VmId> homes;
    if (!customer.isEmpty()) {
        homes = m_parts.limiter.homeVms(customer);
    }
    std::vector<LookUpCandidate> result;
    for (const RosterVm &vm : vms) {
        if (!vm.isSuspect && !vm.isLeaving && vm.isFresh) {
            const bool isHome = std::find(homes.begin(), homes.end(), vm.process.vm) != homes.end();
            result.push_back({ vm.process.vm, vm.locality, isHome });
        }
    }
    return result;
}

LookUp::Answer LookUp::answer(const CustomerId &customer, const std::string &callerAddress) const
{
    const std::vector<RosterVm> vms = m_parts.roster.vms(m_parts.clock.now());
    const std::shared_ptr<const Configuration> configuration = m_parts.configuration.configuration();
    Answer answer;
    answer.timeToLive = m_settings.timeToLive;
    answer.callerRegion = regionOf(callerAddress);

    LookUpRequest request;
    request.region = answer.callerRegion ? *answer.callerRegion : m_settings.locality.region;
    const auto region = configuration->regions.find(*request.region);
    if (region != configuration->regions.end()) {
        request.fallbacks = region->second.fallbacks;
    }
    request.count = m_settings.vmCount + m_settings.alternativeCount;
    std::vector<LookUpCandidate> ranked;
    {
        std::vector<LookUpCandidate> usable = candidates(vms, customer);
        const std::lock_guard guard(m_mutex);
        ranked = rankForLookUp(std::move(usable), request, m_random);
    }
    for (const LookUpCandidate &candidate : ranked) {
        std::vector<AlternativeVm> &list = answer.vms.size() < m_settings.vmCount ? answer.vms : answer.alternatives;
        list.push_back(toAlternative(find(vms, candidate.vm)));
    }
    answer.requestIdPrefix = m_parts.ledger.issuedPrefix();
    if (!answer.vms.empty()) {
        const RosterVm &first = find(vms, answer.vms.front().vm);
        if (first.process.incarnation != Incarnation(0)) {
            answer.requestIdPrefix = IssuedRequestId::prefix(first.process, m_parts.clock.wallTime());
        }
    }
    return answer;
}

std::vector<AlternativeVm> LookUp::alternatives(const CustomerId &customer) const
{
    const Answer ranked = answer(customer, "");
    std::vector<AlternativeVm> others;
    for (const AlternativeVm &vm : ranked.vms) {
        if (vm.vm != m_settings.process.vm) {
            others.push_back(vm);
        }
    }
    others.insert(others.end(), ranked.alternatives.begin(), ranked.alternatives.end());
    if (others.empty()) {
        // A VM that is cut off from the network of VMs suspects all others, but a caller may still reach them.
        for (const RosterVm &vm : m_parts.roster.vms(m_parts.clock.now())) {
            if (vm.process.vm != m_settings.process.vm && vm.locality.region != m_settings.locality.region) {
                others.push_back(toAlternative(vm));
            }
        }
    }
    others.resize(std::min(others.size(), m_settings.alternativeCount));
    return others;
}

} // namespace Sapphire
