//===-- Proxy/EndpointNotice.h - common part of notices ---------*- C++ -*-===//
//
// Notices about one endpoint begin alike: their kind, the endpoint's id and its start time.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_ENDPOINTNOTICE_H
#define LAURELCROFT_LIB_PROXY_ENDPOINTNOTICE_H

#include "laurelcroft/Support/MessagePack.h"

#include <cstddef>
#include <string_view>

namespace laurelcroft {

/// \param fields number of fields of a notice of this kind, including the three checked here.
/// \returns true if \p item has \p fields fields and begins like a notice of \p kind about an
/// endpoint.
inline bool isEndpointNotice(const nlohmann::json &item, std::string_view kind, std::size_t fields)
{
    return item.is_array() && item.size() == fields && item[0] == nlohmann::json(kind)
            && isNonEmptyName(item[1]) && item[2].is_number_unsigned();
}

} // namespace laurelcroft

#endif
