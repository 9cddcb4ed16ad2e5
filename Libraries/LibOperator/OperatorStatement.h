#pragma once

#include <LibConfiguration/Command.h>

#include <optional>
#include <string>
#include <variant>

namespace Sapphire {

enum class ShowSubject {
    Vms,
    Customers,
    Keys,
    Services,
    Targets,
    Regions,
    Blocks,
    Limits, ///< Token buckets and shares of customers, as the answering VM has them.
    Rooms, ///< Slots and busy slots of regions, as the answering VM knows them.
    Weights, ///< How the answering VM divides requests among regions.
    Version,
};

struct ShowStatement
{
    ShowSubject subject { ShowSubject::Vms };
    std::string name {}; ///< Empty for all.
};

enum class ExplainSubject {
    Change,
    Customer,
    Target,
};

struct ExplainStatement
{
    ExplainSubject subject { ExplainSubject::Change };
    std::string name {};
};

struct ChangeStatement
{
    CommandBody body;
    /// The version that the operator had seen. The change is a conflict if the object was changed after it.
    std::optional<ConfigurationVersion> seen {};
};

struct HelpStatement
{
    std::string topic {};
};

/// A statement of the query and command language.
using OperatorStatement = std::variant<ShowStatement, ExplainStatement, ChangeStatement, HelpStatement>;

} // namespace Sapphire
