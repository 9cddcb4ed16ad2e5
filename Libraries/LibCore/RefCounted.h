#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace Sapphire {

/// Base class of objects with a thread-safe reference count inside the object.
template<typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

template<typename T>
using RefPointer = boost::intrusive_ptr<T>;

template<typename T, typename... Arguments>
RefPointer<T> makeRefCounted(Arguments &&...arguments)
{
    return RefPointer<T>(new T(std::forward<Arguments>(arguments)...));
}

} // namespace Sapphire
