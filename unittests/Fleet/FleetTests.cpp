//===-- FleetTests.cpp - membership, ranking, endpoints, bundles ------------===//
//
// Members run in one process under a manual clock, over a port that drops and delays
// datagrams and disconnects members.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/BundleTracker.h"
#include "laurelcroft/Fleet/EndpointDirectory.h"
#include "laurelcroft/Fleet/Membership.h"
#include "laurelcroft/Fleet/Ranking.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace laurelcroft;

namespace {

constexpr const char *siteKey = "key of the tests";

class small_fleet;

struct fake_port
{
    small_fleet *fleet = nullptr;
    std::string from;
    void send(const std::string &to, const std::string &bytes);
};

struct fleet_member
{
    fake_port port;
    std::unique_ptr<membership<manual_runtime, fake_port>> protocol;
    bool dead = false;
    std::uint64_t epoch = 0;
};

class small_fleet
{
public:
    explicit small_fleet(std::size_t size, double loss)
        : loss(loss)
    {
        for (std::size_t i = 0; i < size; ++i)
            add("m" + std::to_string(i));
    }

    void add(const std::string &id)
    {
        auto item = std::make_unique<fleet_member>();
        item->port = {this, id};
        wire::member self;
        self.set_id(id);
        self.set_incarnation(1);
        self.set_data_centre("dc");
        self.set_gossip_address(id);
        membership_events events;
        fleet_member *const raw = item.get();
        events.onEpoch = [this, raw](const epoch_observation &seen) {
            if (seen.epoch > raw->epoch)
                setEpoch(*raw, seen.epoch);
        };
        item->protocol = std::make_unique<membership<manual_runtime, fake_port>>(
                runtime, item->port, random, self, siteKey, membership_options{}, events);
        members[id] = std::move(item);
        raw->protocol->start(id == "m0" ? std::vector<std::string>{}
                                        : std::vector<std::string>{"m0"});
    }

    void setEpoch(fleet_member &item, std::uint64_t epoch)
    {
        item.epoch = epoch;
        epoch_digest digest;
        digest.epoch = epoch;
        item.protocol->setDigest(digest);
        item.protocol->gossipToRandomMembers();
    }

    /// \returns how many live members record \p id as \p state.
    std::size_t seenAs(const std::string &id, wire::member_state state) const
    {
        std::size_t count = 0;
        for (const auto &[own, item] : members) {
            if (item->dead || own == id)
                continue;
            const auto it = item->protocol->members().find(id);
            const bool same = it != item->protocol->members().end() && it->second.state() == state;
            count += same ? 1 : 0;
        }
        return count;
    }

    std::size_t atEpoch(std::uint64_t epoch) const
    {
        std::size_t count = 0;
        for (const auto &[id, item] : members)
            count += item->epoch == epoch ? 1 : 0;
        return count;
    }

    manual_runtime runtime;
    random_source random{11};
    double loss;
    std::map<std::string, std::unique_ptr<fleet_member>> members;
};

} // namespace

void fake_port::send(const std::string &to, const std::string &bytes)
{
    if (fleet->members.count(from) != 0 && fleet->members[from]->dead)
        return;
    if (fleet->random.chance(fleet->loss))
        return;
    fleet->runtime.after(milliseconds(1), [target = to, sender = from, all = fleet, bytes] {
        const auto it = all->members.find(target);
        if (it != all->members.end() && !it->second->dead)
            it->second->protocol->receive(sender, bytes);
    });
}

TEST_CASE("all members discover each other through one seed")
{
    small_fleet fleet(30, 0.05);
    fleet.runtime.advance(seconds(20));
    for (const auto &[id, item] : fleet.members)
        CHECK(item->protocol->members().size() == 29);
}

TEST_CASE("all members detect a dead member; at 5% loss no live member stays declared dead")
{
    small_fleet fleet(30, 0.05);
    fleet.runtime.advance(seconds(20));
    fleet.members["m7"]->dead = true;
    fleet.runtime.advance(seconds(25));
    CHECK(fleet.seenAs("m7", wire::member_dead) == 29);
    for (const auto &[id, item] : fleet.members) {
        if (id != "m7")
            CHECK(fleet.seenAs(id, wire::member_dead) == 0);
    }
}

TEST_CASE("members learn within two seconds that a member is leaving")
{
    small_fleet fleet(30, 0.01);
    fleet.runtime.advance(seconds(20));
    fleet.members["m3"]->protocol->leave();
    fleet.runtime.advance(seconds(2));
    CHECK(fleet.seenAs("m3", wire::member_leaving) >= 28);
    fleet.runtime.advance(seconds(3));
    CHECK(fleet.seenAs("m3", wire::member_leaving) == 29);
}

TEST_CASE("a new epoch reaches all members within five seconds at 1% loss")
{
    small_fleet fleet(60, 0.01);
    fleet.runtime.advance(seconds(20));
    fleet.setEpoch(*fleet.members["m0"], 5);
    fleet.runtime.advance(seconds(5));
    CHECK(fleet.atEpoch(5) == 60);
}

TEST_CASE("a member that was declared dead is alive for all within twenty seconds of its return")
{
    small_fleet fleet(10, 0);
    fleet.runtime.advance(seconds(20));
    fleet.members["m4"]->dead = true; // silent, as in a freeze
    fleet.runtime.advance(seconds(20));
    CHECK(fleet.seenAs("m4", wire::member_dead) == 9);
    // Gossip about its death has ended when it returns; the members it contacts tell it at once.
    fleet.runtime.advance(seconds(60));
    fleet.members["m4"]->dead = false;
    fleet.runtime.advance(seconds(20));
    CHECK(fleet.seenAs("m4", wire::member_alive) == 9);
    for (const auto &[id, item] : fleet.members)
        CHECK(fleet.seenAs(id, wire::member_dead) == 0);
}

TEST_CASE("damaged datagrams and datagrams of another site are rejected")
{
    wire::datagram message;
    message.mutable_sender()->set_id("a");
    const std::string sealed = sealDatagram(siteKey, message);
    CHECK(openDatagram(siteKey, sealed));
    CHECK_FALSE(openDatagram("another key", sealed));
    random_source random(3);
    for (int i = 0; i < 500; ++i) {
        std::string damaged = sealed;
        damaged[random.index(damaged.size())] ^= static_cast<char>(1 + random.index(255));
        damaged.resize(1 + random.index(damaged.size()));
        CHECK_FALSE(openDatagram(siteKey, damaged));
    }
    CHECK_FALSE(openDatagram(siteKey, ""));
}

TEST_CASE("a datagram of the full member list fits one Ethernet frame")
{
    small_fleet fleet(2, 0);
    wire::datagram message;
    for (std::size_t i = 0; i < membership_options{}.membersPerSyncDatagram; ++i) {
        wire::member &item = *message.add_updates();
        item.set_id("agent-timetable-" + std::to_string(100000 + i));
        item.set_incarnation(1796818579982);
        item.set_data_centre("data-centre-name");
        item.set_gossip_address("192.168.100.100:65535");
        item.set_link_address("192.168.100.100:65535");
        item.set_pool("timetable");
    }
    CHECK(sealDatagram(siteKey, message).size() < maxDatagramBytes);
}

TEST_CASE("rendezvous ranking ignores input order, differs per duty and keeps its order on removal")
{
    std::vector<std::string> ids;
    for (int i = 0; i < 100; ++i)
        ids.push_back("i" + std::to_string(i));
    const auto first = topRanked(ids, "duty", 10);
    std::vector<std::string> reversed(ids.rbegin(), ids.rend());
    CHECK(topRanked(reversed, "duty", 10) == first);
    CHECK(topRanked(ids, "other", 10) != first);
    std::erase(ids, first[0]);
    const auto next = topRanked(ids, "duty", 9);
    CHECK(std::vector<std::string>(first.begin() + 1, first.end()) == next);
}

static wire::member agentMember(const std::string &id, const std::string &dataCentre)
{
    wire::member item;
    item.set_id(id);
    item.set_role(wire::role_agent);
    item.set_data_centre(dataCentre);
    item.set_pool("p");
    return item;
}

static wire::from_agent report(bool draining)
{
    wire::from_agent message;
    message.mutable_load()->add_loaded("m@1");
    message.mutable_load()->set_draining(draining);
    return message;
}

TEST_CASE("endpoint directory: no candidates that are leaving, draining, unreachable or not loaded")
{
    endpoint_directory directory("e1", "dc1");
    manual_runtime runtime;
    directory.onMember(agentMember("a", "dc1"));
    directory.chooseSubsets();
    CHECK(directory.candidates("p", "m", "1").empty()); // no report yet
    directory.onReport("a", report(false), runtime.now());
    CHECK(directory.candidates("p", "m", "1").size() == 1);
    CHECK(directory.candidates("p", "m", "2").empty());
    directory.onReport("a", report(true), runtime.now());
    CHECK(directory.candidates("p", "m", "1").empty());
    directory.onReport("a", report(false), runtime.now());
    directory.onUnreachable("a");
    CHECK(directory.candidates("p", "m", "1").empty());
    directory.onReport("a", report(false), runtime.now());
    wire::member leaving = agentMember("a", "dc1");
    leaving.set_state(wire::member_leaving);
    directory.onMember(leaving);
    CHECK(directory.candidates("p", "m", "1").empty());
}

TEST_CASE("endpoint directory: a subset is bounded and prefers the entry's data centre")
{
    endpoint_directory directory("e1", "dc1");
    for (int i = 0; i < 100; ++i) {
        directory.onMember(agentMember("near" + std::to_string(i), "dc1"));
        directory.onMember(agentMember("far" + std::to_string(i), "dc2"));
    }
    const auto chosen = directory.chooseSubsets();
    CHECK(chosen.size() == 20);
    const auto near = std::count_if(chosen.begin(), chosen.end(),
                                    [](const std::string &id) { return id.rfind("near", 0) == 0; });
    CHECK(near == 14);
}

namespace {

struct fake_source
{
    std::optional<acceptance> row;
    std::map<std::string, std::string> texts;
    std::optional<fetched_bundle> peer;
    void readCurrentRow(std::function<void(std::optional<acceptance>)> done) { done(row); }
    void readBundleText(const std::string &hash,
                        std::function<void(std::optional<std::string>)> done)
    {
        const auto it = texts.find(hash);
        done(it == texts.end() ? std::nullopt : std::optional(it->second));
    }
    void fetchFromPeer(const std::string &, std::function<void(std::optional<fetched_bundle>)> done)
    {
        done(peer);
    }
};

struct bundle_tracker_fixture
{
    signing_key key = makeSigningKey();
    manual_runtime runtime;
    fake_source source;
    int installCount = 0;
    bundle_tracker<manual_runtime, fake_source> tracker{runtime, source,
                                                        signoff_rule{{key.publicHex}, 1},
                                                        [this](const auto &) { ++installCount; }};

    fetched_bundle make(bundle_epoch epoch, const std::string &site)
    {
        bundle rules;
        rules.site = site;
        fetched_bundle made;
        made.text = canonicalText(rules);
        made.accepted.epoch = epoch;
        made.accepted.hash = bundleHash(rules);
        made.accepted.signatures
                = {{key.publicHex, *signEd25519(key.secretHex, signedText(made.accepted.hash))}};
        source.texts[made.accepted.hash] = made.text;
        return made;
    }
};

} // namespace

TEST_CASE("bundle tracker: installs only higher epochs with signatures and a matching hash")
{
    bundle_tracker_fixture bench;
    CHECK(bench.tracker.install(bench.make(3, "a")));
    CHECK_FALSE(bench.tracker.install(bench.make(3, "b")));
    CHECK_FALSE(bench.tracker.install(bench.make(2, "b")));
    fetched_bundle unsignedOne = bench.make(4, "b");
    unsignedOne.accepted.signatures.clear();
    CHECK_FALSE(bench.tracker.install(unsignedOne));
    fetched_bundle swapped = bench.make(4, "b");
    swapped.text = bench.make(4, "c").text;
    CHECK_FALSE(bench.tracker.install(swapped));
    CHECK(bench.tracker.epoch() == 3);
    CHECK(bench.installCount == 1);
}

TEST_CASE("bundle tracker: an epoch is confirmed by table reads, and the confirmation ages")
{
    bundle_tracker_fixture bench;
    const fetched_bundle made = bench.make(1, "a");
    bench.source.row = made.accepted;
    bench.tracker.poll();
    CHECK(bench.tracker.epoch() == 1);
    CHECK(bench.tracker.isConfirmedWithin(seconds(1)));
    bench.runtime.advance(seconds(10));
    CHECK_FALSE(bench.tracker.isConfirmedWithin(seconds(5)));
    bench.tracker.observePeerEpoch("peer", 1, true, seconds(2));
    CHECK(bench.tracker.isConfirmedWithin(seconds(5)));
    // Table reads of the old epoch do not confirm the new one.
    bench.source.peer = bench.make(2, "b");
    bench.tracker.observePeerEpoch("peer", 2, false, seconds(0));
    CHECK(bench.tracker.epoch() == 2);
    CHECK_FALSE(bench.tracker.confirmed());
}
