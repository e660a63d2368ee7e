//===-- SpreadTrial.cpp - gossip of epochs and member failures --------------===//
//
// Runs the product's membership protocol in simulated time, over a port that counts, drops and
// delays datagrams, and over UDP sockets on loopback.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/Membership.h"
#include "laurelcroft/Load/Trial.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <ctime>
#include <memory>

using namespace laurelcroft;
using asio::ip::udp;

namespace {

constexpr const char *membershipKey = "key of the spread trial";
constexpr double udpHeaderBytes = 28; ///< IPv4 and UDP headers
constexpr duration settleTime = seconds(40);
constexpr duration measurementTime = seconds(30);

/// Counters and epoch of one member, for either transport.
struct member_counts
{
    std::uint64_t datagrams = 0;
    double bytes = 0;
    std::uint64_t epoch = 0;
    time_point adoptedAt{}; ///< when the member adopted the epoch
};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

wire::member makeMember(std::size_t number, const std::string &address)
{
    wire::member self;
    self.set_id("agent-timetable-" + std::to_string(number));
    self.set_incarnation(1796818579982 + number);
    self.set_role(wire::role_agent);
    self.set_data_centre("dc" + std::to_string(number % 6));
    self.set_gossip_address(address);
    self.set_link_address(address);
    self.set_pool("timetable");
    return self;
}

epoch_digest makeDigest(std::uint64_t epoch, time_point now)
{
    epoch_digest digest;
    digest.epoch = epoch;
    digest.confirmed = true;
    digest.confirmedAt = now;
    return digest;
}

// ---- simulated time ----------------------------------------------------------

class simulated_fleet;

struct simulated_port
{
    simulated_fleet *fleet = nullptr;
    std::size_t number = 0;
    void send(const std::string &address, const std::string &bytes);
};

struct simulated_member
{
    simulated_port port;
    member_counts counts;
    std::unique_ptr<membership<manual_runtime, simulated_port>> protocol;
    bool silent = false; ///< simulates a failed member: it neither sends nor receives
};

class simulated_fleet
{
public:
    simulated_fleet(std::size_t size, std::uint64_t seed, double loss)
        : random(seed)
        , loss(loss)
    {
        for (std::size_t i = 0; i < size; ++i)
            members.push_back(std::make_unique<simulated_member>());
        for (std::size_t i = 0; i < size; ++i)
            startMember(i);
    }

    void startMember(std::size_t i)
    {
        simulated_member &item = *members[i];
        item.port = {this, i};
        membership_events events;
        events.onEpoch = [this, &item](const epoch_observation &seen) {
            if (seen.epoch > item.counts.epoch)
                adoptEpoch(item, seen.epoch);
        };
        item.protocol = std::make_unique<membership<manual_runtime, simulated_port>>(
                runtime, item.port, random, makeMember(i, std::to_string(i)), membershipKey,
                membership_options{}, events);
        std::vector<std::string> seeds;
        if (i > 0)
            seeds = {std::to_string(random.index(i)), "0"};
        item.protocol->start(seeds);
    }

    /// Stores the epoch of the member and starts to gossip it.
    void adoptEpoch(simulated_member &item, std::uint64_t epoch)
    {
        item.counts.epoch = epoch;
        item.counts.adoptedAt = runtime.now();
        item.protocol->setDigest(makeDigest(epoch, runtime.now()));
        item.protocol->gossipToRandomMembers();
    }

    void resetCounts()
    {
        for (const auto &item : members) {
            item->counts.bytes = 0;
            item->counts.datagrams = 0;
        }
    }

    /// \returns the number of live members that consider member \p number dead.
    std::size_t countDeadReports(std::size_t number) const
    {
        const std::string id = makeMember(number, "").id();
        std::size_t count = 0;
        for (const auto &item : members) {
            const auto it = item->protocol->members().find(id);
            const bool dead = it != item->protocol->members().end()
                    && it->second.state() == wire::member_dead;
            count += dead && !item->silent ? 1 : 0;
        }
        return count;
    }

    manual_runtime runtime;
    random_source random;
    double loss;
    std::vector<std::unique_ptr<simulated_member>> members;
};

} // namespace

void simulated_port::send(const std::string &address, const std::string &bytes)
{
    simulated_member &from = *fleet->members[number];
    if (from.silent)
        return;
    from.counts.bytes += static_cast<double>(bytes.size()) + udpHeaderBytes;
    from.counts.datagrams += 1;
    if (fleet->random.chance(fleet->loss))
        return;
    const std::size_t target = std::stoul(address);
    fleet->runtime.after(milliseconds(1), [all = fleet, target, sender = number, bytes] {
        simulated_member &to = *all->members[target];
        if (to.silent || !to.protocol)
            return;
        to.counts.bytes += static_cast<double>(bytes.size()) + udpHeaderBytes;
        to.protocol->receive(std::to_string(sender), bytes);
    });
}

/// Lets member 0 adopt \p epoch now.
/// \returns the seconds until all live members have adopted it, or -1 if one has not within 20 s.
static double measureEpoch(simulated_fleet &fleet, std::uint64_t epoch)
{
    const time_point began = fleet.runtime.now();
    fleet.adoptEpoch(*fleet.members[0], epoch);
    fleet.runtime.advance(seconds(20));
    double slowest = 0;
    for (const auto &item : fleet.members) {
        if (item->silent)
            continue;
        if (item->counts.epoch != epoch)
            return -1;
        slowest = std::max(slowest,
                           std::chrono::duration<double>(item->counts.adoptedAt - began).count());
    }
    return slowest;
}

std::vector<trial_row> laurelcroft::runSpreadTrial(const trial_settings &given)
{
    std::vector<trial_row> rows;
    for (const double size : given.axisValues) {
        const auto count = static_cast<std::size_t>(size);
        simulated_fleet fleet(count, given.seed, given.loss);
        // Waits long enough for all joins to reach all members, so that the traffic measured is
        // that of a stable fleet.
        fleet.runtime.advance(settleTime + milliseconds(static_cast<std::int64_t>(size) * 500));
        fleet.resetCounts();
        const double cpuBefore = cpuSeconds();
        fleet.runtime.advance(measurementTime);
        const double cpuTime = cpuSeconds() - cpuBefore;
        const double watched = std::chrono::duration<double>(measurementTime).count();
        double bytes = 0;
        double datagrams = 0;
        double known = 0;
        for (const auto &item : fleet.members) {
            bytes += item->counts.bytes;
            datagrams += static_cast<double>(item->counts.datagrams);
            known += static_cast<double>(item->protocol->members().size());
        }
        const double epochSeconds = measureEpoch(fleet, 2);
        // Silences a sixth of the members at once, as when a data centre fails.
        for (std::size_t i = 1; i < count; i += 6)
            fleet.members[i]->silent = true;
        const double afterLoss = measureEpoch(fleet, 3);
        fleet.runtime.advance(seconds(10));
        double detectedDeaths = 0;
        double silentMembers = 0;
        const double live = size - std::ceil((size - 1) / 6);
        for (std::size_t i = 0; i < count; ++i) {
            if (!fleet.members[i]->silent)
                continue;
            detectedDeaths += static_cast<double>(fleet.countDeadReports(i)) / live;
            silentMembers += 1;
        }
        fleet.runtime.advance(seconds(50));
        double falseAlarms = 0;
        for (std::size_t i = 0; i < count; ++i) {
            if (!fleet.members[i]->silent)
                falseAlarms += static_cast<double>(fleet.countDeadReports(i));
        }
        rows.push_back({given.kind,
                        "laurelcroft",
                        size,
                        "members",
                        {{"epoch everywhere s", epochSeconds},
                         {"epoch everywhere, a sixth gone s", afterLoss},
                         {"bytes/s a node", bytes / size / watched},
                         {"datagrams/s a node", datagrams / size / watched},
                         {"processor % of a core a node", 100 * cpuTime / watched / size},
                         {"members known", known / size},
                         {"live members called dead after 80 s, pairs", falseAlarms},
                         {"deaths known after 30 s",
                          silentMembers > 0 ? detectedDeaths / silentMembers : 1}}});
    }
    return rows;
}

// ---- real sockets ------------------------------------------------------------

namespace {

struct socket_port
{
    udp::socket socket;
    member_counts *counts = nullptr;
    random_source *random = nullptr;
    double loss = 0;

    void send(const std::string &address, const std::string &bytes)
    {
        counts->bytes += static_cast<double>(bytes.size()) + udpHeaderBytes;
        counts->datagrams += 1;
        if (random->chance(loss))
            return;
        const auto port
                = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        asio::error_code ignored;
        socket.send_to(asio::buffer(bytes), {asio::ip::address_v4::loopback(), port}, 0, ignored);
    }
};

struct socket_member
{
    socket_member(asio::io_context &context, random_source &random, double loss)
        : port{udp::socket(context, udp::endpoint(asio::ip::address_v4::loopback(), 0)), &counts,
               &random, loss}
    {
        address = "127.0.0.1:" + std::to_string(port.socket.local_endpoint().port());
    }

    void receive()
    {
        port.socket.async_receive_from(
                asio::buffer(input), from, [this](const asio::error_code &error, std::size_t size) {
                    if (error)
                        return;
                    counts.bytes += static_cast<double>(size) + udpHeaderBytes;
                    protocol->receive("127.0.0.1:" + std::to_string(from.port()),
                                      std::string_view(input.data(), size));
                    receive();
                });
    }

    member_counts counts;
    socket_port port;
    std::string address;
    std::unique_ptr<membership<asio_runtime, socket_port>> protocol;
    udp::endpoint from;
    std::array<char, 2 * maxDatagramBytes> input{};
};

constexpr std::size_t maxSocketMembers = 300;
constexpr auto socketSettleTime = std::chrono::seconds(8);
constexpr auto socketMeasurementTime = std::chrono::seconds(8);
constexpr auto socketSpreadTime = std::chrono::seconds(6);

} // namespace

static void adoptSocketEpoch(socket_member &item, asio_runtime &runtime, std::uint64_t epoch)
{
    item.counts.epoch = epoch;
    item.counts.adoptedAt = runtime.now();
    item.protocol->setDigest(makeDigest(epoch, runtime.now()));
    item.protocol->gossipToRandomMembers();
}

std::vector<trial_row> laurelcroft::runSocketSpreadTrial(const trial_settings &given)
{
    std::vector<trial_row> rows;
    for (const double size : given.axisValues) {
        const std::size_t count = std::min(maxSocketMembers, static_cast<std::size_t>(size));
        asio::io_context context(1);
        asio_runtime runtime(context);
        random_source random(given.seed);
        std::vector<std::unique_ptr<socket_member>> members;
        for (std::size_t i = 0; i < count; ++i)
            members.push_back(std::make_unique<socket_member>(context, random, given.loss));
        for (std::size_t i = 0; i < count; ++i) {
            socket_member &item = *members[i];
            membership_events events;
            events.onEpoch = [&item, &runtime](const epoch_observation &seen) {
                if (seen.epoch > item.counts.epoch)
                    adoptSocketEpoch(item, runtime, seen.epoch);
            };
            item.protocol = std::make_unique<membership<asio_runtime, socket_port>>(
                    runtime, item.port, random, makeMember(i, item.address), membershipKey,
                    membership_options{}, events);
            item.receive();
            item.protocol->start(i == 0 ? std::vector<std::string>{}
                                        : std::vector<std::string>{members[0]->address});
        }
        context.run_for(socketSettleTime);
        for (const auto &item : members)
            item->counts.bytes = 0;
        const double cpuBefore = cpuSeconds();
        context.run_for(socketMeasurementTime);
        const double cpuTime = cpuSeconds() - cpuBefore;
        const double watched = std::chrono::duration<double>(socketMeasurementTime).count();
        double bytes = 0;
        double known = 0;
        for (const auto &item : members) {
            bytes += item->counts.bytes;
            known += static_cast<double>(item->protocol->members().size());
        }
        const time_point began = runtime.now();
        adoptSocketEpoch(*members[0], runtime, 2);
        context.run_for(socketSpreadTime);
        double slowest = 0;
        double missing = 0;
        for (const auto &item : members) {
            missing += item->counts.epoch == 2 ? 0 : 1;
            slowest = std::max(
                    slowest, std::chrono::duration<double>(item->counts.adoptedAt - began).count());
        }
        const auto total = static_cast<double>(count);
        rows.push_back({given.kind,
                        "laurelcroft",
                        total,
                        "members",
                        {{"epoch everywhere s", slowest},
                         {"members without it after 6 s", missing},
                         {"bytes/s a node", bytes / total / watched},
                         {"processor % of a core a node", 100 * cpuTime / watched / total},
                         {"members known", known / total}}});
    }
    return rows;
}
