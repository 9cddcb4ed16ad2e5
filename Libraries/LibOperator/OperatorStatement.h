#pragma once

#include <LibConfiguration/Command.h>

#include <optional>
#include <string>
#include <variant>

namespace Sapphire {

enum class Subject {
    Vms,
    Customers,
    Keys,
    Services,
    Targets,
    Regions,
    Blocks,
    Limits, ///< Buckets and shares at the VM that answers.
    Rooms,
    Weights,
    Version,
};

struct ShowStatement
{
    Subject subject { Subject::Vms };
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
    /// The version that the operator had seen; the change loses against later ones of the same object.
    std::optional<ConfigurationVersion> seen {};
};

struct HelpStatement
{
    std::string topic {};
};

/// A sentence of the query and command language.
using OperatorStatement = std::variant<ShowStatement, ExplainStatement, ChangeStatement, HelpStatement>;

} // namespace Sapphire
