//===-- FlowFixture.cpp - fixture for request flows -------------------------===//
//
// Implements the fixture, and the routes and requests that the tests share.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

using namespace laurelcroft;

flow_fixture::flow_fixture(const service_route &route,
                           std::initializer_list<const char *> endpoints)
{
    useRoute(route);
    for (const char *id : endpoints)
        addEndpoint(id);
}

void flow_fixture::addEndpoint(const std::string &id, const std::string &service,
                               const std::string &version)
{
    endpoint_record record;
    record.id = id;
    record.service = service;
    record.host = "127.0.0.1";
    record.port = 1;
    record.softwareVersion = version;
    record.slots = 4;
    routing.directory().apply(record, runtime.now());
}

void flow_fixture::setDataCentre(const std::string &id, const std::string &dataCentre)
{
    endpoint_record record = routing.directory().all().at(id)->record();
    record.dataCentre = dataCentre;
    routing.directory().apply(record, runtime.now());
}

void flow_fixture::addColdEndpoint(const std::string &id, const std::string &owner)
{
    addEndpoint(id);
    auto contract = std::make_shared<service_contract>(*routing.contract());
    contract->version += 1;
    contract->services.front().coldRequestsPerSecond = 1;
    routing.setContract(contract);
    routing.setEntries({owner}, "own");
    routing.directory().all().at(id)->setColdFor(seconds(5), runtime.now());
}

void flow_fixture::earnFurtherSends(const std::string &service)
{
    constexpr int requests = 100;
    routing.setEntries({"own"}, "own");
    for (int i = 0; i < requests; ++i)
        routing.repeats(service).countRequest(runtime.now(), routing.shareOfEntries());
}

void flow_fixture::useRoute(const service_route &route)
{
    const auto contract
            = contractFor(route, routing.contract() ? routing.contract()->version + 1 : 1);
    contract->services.front().models = {{"small", 1}, {"middle", 3}, {"large", 10}};
    contract->needsKeys = true;
    contract->customers.push_back({"daan", 3});
    contract->customerIndexByKey["key-daan"] = 0;
    routing.setContract(contract);
    for (const weighted_service &service : route.services)
        earnFurtherSends(service.name);
}

void flow_fixture::answer(std::size_t index, int code, std::optional<int> confidence)
{
    proxy_answer answer;
    answer.status = code;
    answer.requestId = calls[index].attempt.request->id;
    answer.signedByEndpoint = true;
    answer.confidence = confidence;
    answer.headers = {{"X-From", calls[index].attempt.endpoint->record().id}};
    calls[index].events.onAnswer(std::move(answer));
}

void flow_fixture::refuseNotRun(std::size_t index, bool misdirected)
{
    constexpr int misdirectedStatus = 421;
    proxy_answer answer;
    answer.status = misdirected ? misdirectedStatus : http_status::unavailable;
    answer.notRun = true;
    answer.misdirected = misdirected;
    this->answer(index, std::move(answer), call_end::complete);
}

void flow_fixture::answer(std::size_t index, proxy_answer head, call_end how)
{
    calls[index].events.onAnswer(std::move(head));
    end(index, how);
}

std::size_t flow_fixture::openCalls() const
{
    std::size_t open = 0;
    for (const recorded_call &call : calls)
        open += call.cancelled ? 0 : 1;
    return open;
}

static service_route baseRoute()
{
    service_route route;
    route.name = "route";
    route.host = "site.example";
    route.pathPrefix = "/a/";
    route.timeout = milliseconds(4000);
    route.objective = milliseconds(300);
    route.services = {{"pool", 1.0}};
    return route;
}

service_route laurelcroft::lookupRoute()
{
    service_route route = baseRoute();
    route.repeatable = true;
    route.maxEndpoints = 2;
    return route;
}

service_route laurelcroft::fetchRoute()
{
    return baseRoute();
}

service_route laurelcroft::draftRoute()
{
    service_route route = baseRoute();
    route.form = answer_form::events;
    route.resumable = true;
    route.objective = milliseconds(2000);
    route.eventGap = milliseconds(1200);
    route.timeout = milliseconds(20000);
    route.maxEndpoints = 3;
    route.models = {"small", "middle", "large"};
    return route;
}

std::shared_ptr<service_contract> laurelcroft::contractFor(const service_route &route,
                                                           std::uint64_t version)
{
    auto contract = std::make_shared<service_contract>();
    contract->version = version;
    contract->routes.push_back(route);
    service_description pool;
    pool.name = "pool";
    contract->services.push_back(pool);
    return contract;
}

std::shared_ptr<proxy_request> laurelcroft::requestFor(const service_route &route)
{
    auto request = std::make_shared<proxy_request>();
    request->method = "POST";
    request->host = route.host;
    request->path = route.pathPrefix + "x";
    request->target = request->path;
    request->id = "r1";
    request->key = "key-daan";
    request->callerTimeout = milliseconds(20000);
    request->anyModel = !route.models.empty();
    return request;
}

std::shared_ptr<fake_flow> laurelcroft::startFlow(flow_fixture &fixture,
                                                  std::shared_ptr<proxy_request> request)
{
    auto flow = std::make_shared<fake_flow>(fake_environment{&fixture}, std::move(request));
    fixture.flows.push_back(flow);
    flow->start();
    return flow;
}

std::string laurelcroft::eventText(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: words\n\n";
}

void laurelcroft::crashEndpoints(flow_fixture &fixture,
                                 const std::shared_ptr<proxy_request> &request, unsigned ends)
{
    crash_watch &crashes = fixture.routing.crashes();
    for (unsigned i = 0; i < ends; ++i) {
        endpoint_record record;
        record.id = "gone" + std::to_string(i);
        record.service = "pool";
        record.softwareVersion = "v1";
        crashes.runs().add(record.id, request, fixture.runtime.now());
        fixture.runtime.advance(milliseconds(100));
        crashes.endpointEnded(service_endpoint(record), fixture.runtime.now());
    }
}
