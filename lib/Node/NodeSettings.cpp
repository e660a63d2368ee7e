//===-- NodeSettings.cpp - settings that entry and agent share --------------===//
//
// Declares their names, defaults and ranges, and validates their values.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Node/Node.h"

using namespace laurelcroft;

namespace {
constexpr std::size_t minSiteKeyLength = 16;
}

void laurelcroft::addNodeSettings(settings &declared)
{
    declared.addRequired("instance", "unique name of this instance in the site");
    declared.addRequired("data-centre", "data centre of this instance");
    declared.addText("link-address", "127.0.0.1:0",
                     "host:port that accepts links from other instances");
    declared.addText("gossip-address", "127.0.0.1:0", "host:port for membership datagrams");
    declared.addText("seeds", "", "gossip addresses of first peers, separated by commas");
    declared.addRequired("site-key", "shared secret of all instances, at least 16 characters");
    declared.addRequired("signoff-keys",
                         "public keys trusted to sign off bundles, separated by commas");
    declared.addNumber("signoff-required", 1, 1, 16, "keys",
                       "number of distinct keys that must sign off a bundle");
    declared.addRequired("table-url", "URL of the table service");
    declared.addRequired("objects-url", "URL of the object store");
    declared.addText("ratings-url", "", "URL of the rating service; no ratings if empty");
    declared.addText("list-url", "", "URL of the instance list; only seeds are used if empty");
    declared.addNumber("table-rate", 50, 1, 10000, "calls/s",
                       "rate limit of this instance for the table service");
    declared.addNumber("table-timeout", 1000, 10, 60000, "ms",
                       "timeout of a call to the table service");
    declared.addNumber("poll-period", 1000, 100, 60000, "ms",
                       "interval between reads of the bundle row");
    declared.addNumber("probe-period", 1000, 50, 60000, "ms", "interval between membership probes");
    declared.addText("log-level", "info", "debug, info, warning or error");
    declared.addFlag("log-json", "write the log as JSON lines");
}

std::string laurelcroft::readNodeOptions(const settings &given, node_options &options)
{
    options.instance = given.text("instance");
    options.dataCentre = given.text("data-centre");
    options.linkAddress = given.text("link-address");
    options.gossipAddress = given.text("gossip-address");
    options.seeds = splitList(given.text("seeds"), ',');
    options.siteKey = given.text("site-key");
    options.signoff.trustedKeys = splitList(given.text("signoff-keys"), ',');
    options.signoff.required = static_cast<std::size_t>(given.number("signoff-required"));
    options.table.url = given.text("table-url");
    options.table.callsPerSecond = static_cast<double>(given.number("table-rate"));
    options.table.burst = options.table.callsPerSecond;
    options.table.timeout = milliseconds(given.number("table-timeout"));
    options.objects.url = given.text("objects-url");
    options.objects.timeout = options.table.timeout;
    options.ratings.url = given.text("ratings-url");
    options.ratings.timeout = seconds(10);
    options.ratings.callsPerSecond = 5;
    options.ratings.burst = 10;
    options.list.url = given.text("list-url");
    options.pollPeriod = milliseconds(given.number("poll-period"));
    options.membership.period = milliseconds(given.number("probe-period"));
    options.membership.probeTimeout = options.membership.period * 3 / 10;
    if (options.siteKey.size() < minSiteKeyLength)
        return "--site-key: must have at least 16 characters";
    if (options.signoff.required > options.signoff.trustedKeys.size())
        return "--signoff-required: exceeds the number of keys in --signoff-keys";
    std::string host;
    std::uint16_t port = 0;
    for (const char *name : {"link-address", "gossip-address"}) {
        if (!splitAddress(given.text(name), host, port))
            return "--" + std::string(name) + ": '" + given.text(name) + "' is not host:port";
    }
    return {};
}
