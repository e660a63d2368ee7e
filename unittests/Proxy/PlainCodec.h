//===-- PlainCodec.h - readable test rows -----------------------*- C++ -*-===//
//
// A row codec whose values are short texts, so that a test writes a row as one word.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_PLAINCODEC_H
#define LAURELCROFT_UNITTESTS_PROXY_PLAINCODEC_H

#include "laurelcroft/Proxy/StoreSync.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// A contract's value is its version. An endpoint's value is its software version, followed by "-"
/// when it is leaving or by "*" and the milliseconds for which it is cold. Its id may end with "@"
/// and its data centre. The key "evacuate X" evacuates data centre X.
inline row_codec plainCodec()
{
    row_codec codec;
    codec.operatorTable = "orders";
    codec.endpointTable = "endpoints";
    codec.statusTable = "status";
    codec.isContract = [](std::string_view key) { return key == "contract"; };
    codec.evacuatedDataCentre = [](std::string_view key) -> std::optional<std::string> {
        if (!key.starts_with("evacuate "))
            return std::nullopt;
        return std::string(key.substr(key.find(' ') + 1));
    };
    codec.orderedService = [](std::string_view key) -> std::optional<std::string> {
        if (key == "contract" || key.starts_with("evacuate "))
            return std::nullopt;
        return std::string(key);
    };
    codec.decodeContract = [](const std::string &value) -> decoded<service_contract> {
        if (value == "wrong")
            return failure(std::string("routes: missing"));
        service_contract contract;
        contract.version = std::stoul(value);
        return contract;
    };
    codec.decodeEndpoint
            = [](const std::string &key, const std::string &value) -> decoded<endpoint_record> {
        if (value == "foreign")
            return failure(std::string("service: missing"));
        endpoint_record record;
        record.id = key;
        record.service = "pool";
        if (const std::size_t at = key.find('@'); at != std::string::npos)
            record.dataCentre = key.substr(at + 1);
        record.softwareVersion = value.substr(0, 2);
        record.leaving = value.ends_with('-');
        if (const std::size_t cold = value.find('*'); cold != std::string::npos)
            record.coldLeft = milliseconds(std::stol(value.substr(cold + 1)));
        return record;
    };
    codec.decodeOrder = [](const std::string &value) -> decoded<rollout_order> {
        return rollout_order{"", value, seconds(10), 0};
    };
    codec.encodeStatus = [](const rollout_order &order, rollout_stage stage) {
        return row_write{"status", order.service, std::string(textOf(stage)), std::nullopt};
    };
    return codec;
}

} // namespace laurelcroft

#endif
