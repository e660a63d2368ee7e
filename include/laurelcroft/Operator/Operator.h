//===-- Operator/Operator.h - the operators' command -------------*- C++ -*-===//
//
// Everything operators may do: make, compare, propose, sign, accept, roll forward
// and withdraw bundles, and look at what is in force.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_OPERATOR_OPERATOR_H
#define LAURELCROFT_OPERATOR_OPERATOR_H

namespace laurelcroft {

/// Exit codes of the command; the help lists them.
enum class operator_exit {
    done = 0,
    failed = 1,
    usage = 2,
    invalidBundle = 3,
    conflict = 4,
    platformUnreachable = 5,
    signaturesMissing = 6,
};

/// Runs the command. \returns its exit code.
int runOperator(int argc, char **argv);

} // namespace laurelcroft

#endif
