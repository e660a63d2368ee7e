//===-- FakeTable.cpp - fake table with injected faults ---------------------===//
//
// Calls take effect in the shared store when they arrive. A fault may lose the request
// or the answer, or delay the effect beyond the client's deadline.
//
//===----------------------------------------------------------------------===//
#include "World.h"

using namespace laurelcroft;
using namespace laurelcroft::testing;

namespace {
constexpr duration clientDeadline = seconds(1);
constexpr duration slowWriteDelay = seconds(2);
} // namespace

static std::string kindOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

static table_error errorOf(table_failure kind)
{
    return {kind, milliseconds(500)};
}

template <class T>
void fake_table::call(const std::string &kind, std::function<T()> effect, table_callback<T> done)
{
    simulated_site *const site = &m_site;
    const std::string owner = m_owner;
    const auto countStep = [site, owner](const std::string &name, bool after) {
        site->step(name, after, site->findEntry(owner), site->findAgent(owner));
    };
    countStep(kind + ".sent", false);
    if (m_runtime.isDead())
        return;
    const auto answer
            = [site, this, done, countStep, kind](duration when, outcome<T, table_error> result) {
                  site->clock.after(when, [this, done, countStep, kind, result] {
                      countStep(kind + ".answered", false);
                      m_runtime.run([done, result] { done(result); });
                      countStep(kind + ".answered", true);
                  });
              };
    m_runtime.run([=] {
        site->clock.after(simulated_site::latency, [=] {
            table_store &store = site->store;
            const time_point now = site->clock.now();
            const bool isRead = kind.find(".read") != std::string::npos;
            if (now < store.downUntil) {
                answer(simulated_site::latency, failure(errorOf(table_failure::notSent)));
                return;
            }
            if (!isRead && std::exchange(store.loseNextRequest, false)) {
                answer(clientDeadline, failure(errorOf(table_failure::unknown)));
                return;
            }
            if (now < store.slowUntil) {
                site->clock.after(slowWriteDelay, [effect] { effect(); });
                answer(clientDeadline, failure(errorOf(table_failure::unknown)));
                return;
            }
            countStep(kind + ".applied", false);
            const T result = effect();
            countStep(kind + ".applied", true);
            if (!isRead && std::exchange(store.loseNextAnswer, false))
                answer(clientDeadline, failure(errorOf(table_failure::unknown)));
            else
                answer(simulated_site::latency, result);
        });
    });
}

void fake_table::read(const std::string &key, table_callback<std::optional<table_row>> done)
{
    call<std::optional<table_row>>(
            kindOf(key) + ".read",
            [this, key]() -> std::optional<table_row> {
                const auto it = m_site.store.rows.find(key);
                if (it == m_site.store.rows.end())
                    return std::nullopt;
                return it->second;
            },
            std::move(done));
}

static write_result insertRow(simulated_site &site, const std::string &key,
                              const std::string &value)
{
    const bool isBill = kindOf(key) == "bill";
    if (isBill && site.activeSabotage == sabotage::dropBills)
        return {true, {value, 1}};
    if (isBill && site.activeSabotage == sabotage::doubleBills)
        site.store.rows[key + "-again"] = {value, 1};
    const auto [it, fresh] = site.store.rows.try_emplace(key, table_row{value, 1});
    return {fresh, it->second};
}

void fake_table::insert(const std::string &key, const std::string &value,
                        table_callback<write_result> done)
{
    call<write_result>(
            kindOf(key), [this, key, value] { return insertRow(m_site, key, value); },
            std::move(done));
}

void fake_table::compareAndSet(const std::string &key, std::uint64_t version,
                               const std::string &value, table_callback<write_result> done)
{
    call<write_result>(
            kindOf(key) + ".set",
            [this, key, version, value]() -> write_result {
                table_row &row = m_site.store.rows[key];
                if (row.version != version)
                    return {false, row};
                row = {value, version + 1};
                return {true, row};
            },
            std::move(done));
}

void fake_table::insertAll(const std::vector<new_row> &rows,
                           table_callback<std::vector<write_result>> done)
{
    call<std::vector<write_result>>(
            rows.empty() ? "none" : kindOf(rows.front().key),
            [this, rows] {
                std::vector<write_result> results;
                for (const new_row &row : rows)
                    results.push_back(insertRow(m_site, row.key, row.value));
                return results;
            },
            std::move(done));
}
