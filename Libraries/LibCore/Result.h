#pragma once

#include <LibCore/Verdict.h>

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace Sapphire {

enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict,
    PermissionDenied,
    ResourceExhausted,
    Unavailable,
    Timeout,
    Cancelled,
    DataLoss,
    Internal,
};

std::string_view nameOf(ErrorCode code);

/// The error that a failed result carries.
struct Error
{
    ErrorCode code { ErrorCode::Internal };
    std::string message;
    /// Whether the operation may have taken effect at the other side.
    Verdict verdict { Verdict::NotRun };
};

template<typename T>
using Result = boost::leaf::result<T>;

/// Creates the error of a failed result: `return fail(ErrorCode::NotFound, "...");`.
inline boost::leaf::error_id fail(ErrorCode code, std::string message, Verdict verdict = Verdict::NotRun)
{
    return boost::leaf::new_error(Error { code, std::move(message), verdict });
}

inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// A value or the error that prevented it, for code that inspects errors or stores them.
template<typename T>
class Outcome
{
public:
    Outcome(T value) : m_value(std::move(value))
    {
    }
    Outcome(Error error) : m_error(std::move(error))
    {
    }

    explicit operator bool() const
    {
        return m_value.has_value();
    }
    T &value()
    {
        return *m_value;
    }
    const T &value() const
    {
        return *m_value;
    }
    const Error &error() const
    {
        return m_error;
    }

private:
    std::optional<T> m_value;
    Error m_error;
};

template<>
class Outcome<void>
{
public:
    Outcome() = default;
    Outcome(Error error) : m_error(std::move(error))
    {
    }

    explicit operator bool() const
    {
        return !m_error.has_value();
    }
    const Error &error() const
    {
        return *m_error;
    }

private:
    std::optional<Error> m_error;
};

/// The type of the value that a result carries.
template<typename T>
struct ResultValue;

template<typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

/// Runs an operation that returns Result<T> and returns its value or its error.
template<typename Operation>
auto capture(Operation &&operation) -> Outcome<typename ResultValue<std::invoke_result_t<Operation>>::Type>
{
    using Value = typename ResultValue<std::invoke_result_t<Operation>>::Type;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome<Value>> {
            if constexpr (std::is_void_v<Value>) {
                BOOST_LEAF_CHECK(operation());
                return Outcome<void>();
            } else {
                BOOST_LEAF_AUTO(value, operation());
                return Outcome<Value>(std::move(value));
            }
        },
        [](const Error &error) {
            return Outcome<Value>(error);
        },
        [] {
            return Outcome<Value>(
                Error { ErrorCode::Internal, "the operation failed without a description", Verdict::MayHaveRun });
        });
}

} // namespace Sapphire
