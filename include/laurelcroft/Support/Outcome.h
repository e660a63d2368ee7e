//===-- Support/Outcome.h - value-or-error results ---------------*- C++ -*-===//
//
// An alias for Boost.Outcome's result type. Each component returns errors of its own type and
// throws no exceptions to its callers.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_OUTCOME_H
#define LAURELCROFT_SUPPORT_OUTCOME_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

namespace laurelcroft {

/// Either a value of type \p T or an error of type \p E. Accessing the one that is absent
/// terminates the process.
template <class T, class E>
using outcome = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace laurelcroft

#endif
