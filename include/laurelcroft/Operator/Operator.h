//===-- Operator/Operator.h - the operators' command -------------*- C++ -*-===//
//
// Operators use the command to validate, compare, propose, sign, accept, roll forward
// and withdraw bundles, and to inspect the bundle in force.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_OPERATOR_OPERATOR_H
#define LAURELCROFT_OPERATOR_OPERATOR_H

namespace laurelcroft {

/// Exit codes of the command. Its help text lists them.
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
