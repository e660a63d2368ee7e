//===-- FleetDuty.cpp - membership on a thread of its own -------------------===//
//
// Everything below runs on the fleet duty but for the functions that post to it.
//
//===----------------------------------------------------------------------===//
#include "FleetDuty.h"

#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/UdpAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <random>

using namespace laurelcroft;
using asio::ip::udp;

namespace {

constexpr std::size_t newsRing = 4096;

/// Sends datagrams; what cannot be sent now is lost, as on any network.
struct udp_port
{
    udp::socket socket;

    void send(const std::string &address, const std::string &bytes)
    {
        asio::error_code ignored;
        if (const auto to = parseUdpEndpoint(address))
            socket.send_to(asio::buffer(bytes), *to, 0, ignored);
    }
};

} // namespace

struct fleet_duty::state
{
    state(event_loop_thread &routing, wire::member self, std::string key,
          membership_options options, std::function<void(fleet_news &&)> onNews)
        : duty("fleet")
        , runtime(duty.context())
        , port{udp::socket(duty.context())}
        , random(std::random_device{}())
        , news(duty, routing, newsRing, std::move(onNews))
        , self(std::move(self))
        , key(std::move(key))
        , options(options)
    {
    }

    event_loop_thread duty;
    asio_runtime runtime;
    udp_port port;
    random_source random;
    channel<fleet_news> news;
    wire::member self;
    std::string key;
    membership_options options;
    std::unique_ptr<membership<asio_runtime, udp_port>> protocol;
    std::array<char, 2 * maxDatagramBytes> input{};
    udp::endpoint from;

    void receive();
    void begin(const std::vector<std::string> &seeds);
};

fleet_duty::fleet_duty(event_loop_thread &routing, wire::member self, std::string key,
                       membership_options options, std::function<void(fleet_news &&)> onNews)
    : m_state(std::make_unique<state>(routing, std::move(self), std::move(key), options,
                                      std::move(onNews)))
{
}

fleet_duty::~fleet_duty()
{
    stop();
}

std::string fleet_duty::open(const std::string &host, std::uint16_t port)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return "'" + host + "' is not an IP number";
    udp::socket &socket = m_state->port.socket;
    socket.open(udp::v4(), error);
    socket.bind(udp::endpoint(ip, port), error);
    if (error)
        return error.message();
    socket.non_blocking(true, error);
    const auto bound = socket.local_endpoint();
    m_state->self.set_gossip_address(bound.address().to_string() + ":"
                                     + std::to_string(bound.port()));
    return {};
}

std::string fleet_duty::address() const
{
    return m_state->self.gossip_address();
}

void fleet_duty::state::receive()
{
    port.socket.async_receive_from(
            asio::buffer(input), from, [this](const asio::error_code &error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    const std::string sender
                            = from.address().to_string() + ":" + std::to_string(from.port());
                    protocol->receive(sender, std::string_view(input.data(), size));
                }
                receive();
            });
}

void fleet_duty::state::begin(const std::vector<std::string> &seeds)
{
    membership_events events;
    events.onMember = [this](const wire::member &item) { news.push(item); };
    events.onEpoch = [this](const epoch_observation &item) { news.push(item); };
    events.onHealth = [this](const wire::version_health &item) { news.push(item); };
    protocol = std::make_unique<membership<asio_runtime, udp_port>>(
            runtime, port, random, self, key, options, std::move(events));
    receive();
    protocol->start(seeds);
}

void fleet_duty::start(const std::string &linkAddress, const std::vector<std::string> &seeds)
{
    m_state->self.set_link_address(linkAddress);
    m_state->duty.post([inner = m_state.get(), seeds] { inner->begin(seeds); });
    m_state->duty.start();
}

void fleet_duty::setDigest(const epoch_digest &digest, bool announce)
{
    m_state->duty.post([inner = m_state.get(), digest, announce] {
        inner->protocol->setDigest(digest);
        if (announce)
            inner->protocol->gossipToRandomMembers();
    });
}

void fleet_duty::addSeeds(const std::vector<std::string> &seeds)
{
    m_state->duty.post([inner = m_state.get(), seeds] { inner->protocol->addSeeds(seeds); });
}

void fleet_duty::spreadHealth(const wire::version_health &health)
{
    m_state->duty.post(
            [inner = m_state.get(), health] { inner->protocol->gossipVersionHealth(health); });
}

void fleet_duty::leave()
{
    m_state->duty.post([inner = m_state.get()] { inner->protocol->leave(); });
}

void fleet_duty::stop()
{
    m_state->duty.stop();
}
