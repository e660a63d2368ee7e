//===-- MembershipThread.cpp - runs the membership protocol -----------------===//
//
// The public functions except open, address and stop post to the thread. The protocol
// and the socket are used on the thread only once it has started.
//
//===----------------------------------------------------------------------===//
#include "MembershipThread.h"

#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/UdpAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <random>

using namespace laurelcroft;
using asio::ip::udp;

namespace {

constexpr std::size_t updateQueueCapacity = 4096;

/// Sends datagrams. A datagram that cannot be sent at once is dropped; the protocol tolerates
/// lost datagrams.
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

struct membership_thread::state
{
    state(event_loop_thread &routing, wire::member self, std::string key,
          membership_options options, std::function<void(membership_update &&)> onUpdate)
        : thread("fleet")
        , runtime(thread.context())
        , port{udp::socket(thread.context())}
        , random(std::random_device{}())
        , updates(thread, routing, updateQueueCapacity, std::move(onUpdate))
        , self(std::move(self))
        , key(std::move(key))
        , options(options)
    {
    }

    event_loop_thread thread;
    asio_runtime runtime;
    udp_port port;
    random_source random;
    channel<membership_update> updates;
    wire::member self;
    std::string key;
    membership_options options;
    std::unique_ptr<membership<asio_runtime, udp_port>> protocol;
    std::array<char, 2 * maxDatagramBytes> input{};
    udp::endpoint from;

    void receive();
    void begin(const std::vector<std::string> &seeds);
};

membership_thread::membership_thread(event_loop_thread &routing, wire::member self, std::string key,
                                     membership_options options,
                                     std::function<void(membership_update &&)> onUpdate)
    : m_state(std::make_unique<state>(routing, std::move(self), std::move(key), options,
                                      std::move(onUpdate)))
{
}

membership_thread::~membership_thread()
{
    stop();
}

std::string membership_thread::open(const std::string &host, std::uint16_t port)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return "'" + host + "' is not an IP address";
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

std::string membership_thread::address() const
{
    return m_state->self.gossip_address();
}

void membership_thread::state::receive()
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

void membership_thread::state::begin(const std::vector<std::string> &seeds)
{
    membership_events events;
    events.onMember = [this](const wire::member &item) { updates.push(item); };
    events.onEpoch = [this](const epoch_observation &item) { updates.push(item); };
    events.onHealth = [this](const wire::version_health &item) { updates.push(item); };
    protocol = std::make_unique<membership<asio_runtime, udp_port>>(
            runtime, port, random, self, key, options, std::move(events));
    receive();
    protocol->start(seeds);
}

void membership_thread::start(const std::string &linkAddress, const std::vector<std::string> &seeds)
{
    m_state->self.set_link_address(linkAddress);
    m_state->thread.post([inner = m_state.get(), seeds] { inner->begin(seeds); });
    m_state->thread.start();
}

void membership_thread::setDigest(const epoch_digest &digest, bool announce)
{
    m_state->thread.post([inner = m_state.get(), digest, announce] {
        inner->protocol->setDigest(digest);
        if (announce)
            inner->protocol->gossipToRandomMembers();
    });
}

void membership_thread::addSeeds(const std::vector<std::string> &seeds)
{
    m_state->thread.post([inner = m_state.get(), seeds] { inner->protocol->addSeeds(seeds); });
}

void membership_thread::gossipVersionHealth(const wire::version_health &health)
{
    m_state->thread.post(
            [inner = m_state.get(), health] { inner->protocol->gossipVersionHealth(health); });
}

void membership_thread::leave()
{
    m_state->thread.post([inner = m_state.get()] { inner->protocol->leave(); });
}

void membership_thread::stop()
{
    m_state->thread.stop();
}
