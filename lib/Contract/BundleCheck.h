//===-- BundleCheck.h - consistency checks of a bundle -----------*- C++ -*-===//
//
// Private to Contract: rules that involve more than one field of a bundle.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_CONTRACT_BUNDLECHECK_H
#define LAURELCROFT_LIB_CONTRACT_BUNDLECHECK_H

#include "laurelcroft/Contract/BundleText.h"

namespace YAML {
class Node;
}

namespace laurelcroft {

/// Appends an error for each unresolved reference or violated rule. \p root provides the line
/// and column of each item.
void checkReferences(const bundle &rules, const YAML::Node &root, bundle_errors &errors);

} // namespace laurelcroft

#endif
