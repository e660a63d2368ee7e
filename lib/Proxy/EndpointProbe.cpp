//===-- EndpointProbe.cpp - liveness probe of an endpoint -------------------===//
//
// Races one connection attempt against a timeout.
//
//===----------------------------------------------------------------------===//
#include "EndpointProbe.h"

#include "laurelcroft/Support/BootTimer.h"

#include <asio/ip/tcp.hpp>

#include <memory>
#include <utility>

using namespace laurelcroft;

namespace {

/// Much longer than a round trip between regions; a later result would be useless.
constexpr milliseconds probeTimeout{400};

/// A probe in progress.
struct endpoint_probe
{
    explicit endpoint_probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }
    void end(probe_result result)
    {
        asio::error_code ignored;
        timer.cancel();
        socket.close(ignored);
        if (const auto call = std::exchange(done, nullptr))
            call(result);
    }

    asio::ip::tcp::socket socket;
    boot_timer timer;
    std::function<void(probe_result result)> done;
};

} // namespace

static probe_result resultOf(const asio::error_code &error)
{
    if (!error)
        return probe_result::alive;
    return error == asio::error::connection_refused ? probe_result::ended : probe_result::unknown;
}

void laurelcroft::probeEndpoint(asio::io_context &context, const endpoint_record &endpoint,
                                std::function<void(probe_result result)> done)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    const auto probe = std::make_shared<endpoint_probe>(context);
    probe->done = std::move(done);
    probe->timer.expires_after(error ? milliseconds(0) : probeTimeout);
    probe->timer.async_wait([probe](const asio::error_code &cancelled) {
        if (!cancelled)
            probe->end(probe_result::unknown);
    });
    if (error)
        return;
    probe->socket.async_connect({address, endpoint.port}, [probe](const asio::error_code &failed) {
        probe->end(resultOf(failed));
    });
}
