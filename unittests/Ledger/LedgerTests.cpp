//===-- LedgerTests.cpp - bills, copies and claims --------------------------===//
//
// Uses an in-memory table that can be unavailable, and a port that can refuse copies.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Ledger/BillOutbox.h"
#include "laurelcroft/Ledger/ClaimRegistry.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

struct memory_table
{
    explicit memory_table(manual_runtime &runtime)
        : runtime(runtime)
    {
    }
    manual_runtime &runtime;
    std::map<std::string, table_row> rows;
    bool away = false;
    bool loseAnswer = false;

    template <class T>
    void finish(std::function<T()> effect, table_callback<T> done)
    {
        runtime.after(milliseconds(1), [this, effect, done] {
            if (away) {
                done(failure(table_error{table_failure::notSent, milliseconds(100)}));
                return;
            }
            const T result = effect();
            if (std::exchange(loseAnswer, false))
                done(failure(table_error{table_failure::unknown, milliseconds(100)}));
            else
                done(result);
        });
    }
    write_result put(const std::string &key, const std::string &value)
    {
        const auto [it, fresh] = rows.try_emplace(key, table_row{value, 1});
        return {fresh, it->second};
    }
    void read(const std::string &key, table_callback<std::optional<table_row>> done)
    {
        finish<std::optional<table_row>>(
                [this, key]() -> std::optional<table_row> {
                    const auto it = rows.find(key);
                    return it == rows.end() ? std::nullopt : std::optional(it->second);
                },
                done);
    }
    void insert(const std::string &key, const std::string &value, table_callback<write_result> done)
    {
        finish<write_result>([this, key, value] { return put(key, value); }, done);
    }
    void compareAndSet(const std::string &key, std::uint64_t version, const std::string &value,
                       table_callback<write_result> done)
    {
        finish<write_result>(
                [this, key, version, value]() -> write_result {
                    table_row &row = rows[key];
                    if (row.version != version)
                        return {false, row};
                    row = {value, version + 1};
                    return {true, row};
                },
                done);
    }
    void insertAll(const std::vector<new_row> &list, table_callback<std::vector<write_result>> done)
    {
        finish<std::vector<write_result>>(
                [this, list] {
                    std::vector<write_result> results;
                    for (const new_row &row : list)
                        results.push_back(put(row.key, row.value));
                    return results;
                },
                done);
    }
};

struct copy_port
{
    std::vector<std::string> holders;
    std::vector<wire::bill_copy> sent;
    bool answers = true;
    std::vector<std::string> billHolders() { return holders; }
    void copyBills(const std::string &, const wire::bill_copy &copy, std::function<void(bool)> done)
    {
        sent.push_back(copy);
        done(answers);
    }
};

struct ledger_bench
{
    manual_runtime runtime;
    memory_table table{runtime};
    copy_port port;
    bill_outbox<manual_runtime, memory_table, copy_port> outbox{runtime, table, port, "e1"};
    claim_registry<manual_runtime, memory_table> claims{runtime, table, "e1"};

    static wire::bill bill(const std::string &id)
    {
        wire::bill item;
        item.set_request_id(id);
        item.set_customer("school");
        item.set_outcome("complete");
        item.set_cost(1.5);
        return item;
    }

    claim_verdict take(const std::string &id, const std::string &operation,
                       const std::string &body = "b")
    {
        claim mine;
        mine.requestId = id;
        mine.operationId = operation;
        mine.bodySha256 = body;
        claim_verdict verdict = claim_verdict::unavailable;
        claims.acquire(mine, [&](const claim_result &result) { verdict = result.verdict; });
        runtime.advance(milliseconds(20));
        return verdict;
    }
};

} // namespace

TEST_CASE("a bill is acknowledged once it is copied, and is written to the table once")
{
    ledger_bench bench;
    bench.port.holders = {"e2"};
    int placed = 0;
    bench.outbox.add(ledger_bench::bill("r1"), [&] { ++placed; });
    CHECK(placed == 0);
    bench.runtime.advance(milliseconds(2));
    CHECK(placed == 1);
    CHECK(bench.table.rows.empty());
    bench.runtime.advance(seconds(1));
    CHECK(bench.table.rows.count("bill/r1") == 1);
    CHECK(bench.outbox.pending() == 0);
    CHECK(bench.port.sent.back().stored(0) == "r1");
    CHECK(placed == 1);
}

TEST_CASE("without a second process a bill is acknowledged when the table has stored it")
{
    ledger_bench bench;
    bench.table.away = true;
    int placed = 0;
    bench.outbox.add(ledger_bench::bill("r1"), [&] { ++placed; });
    bench.runtime.advance(seconds(30));
    CHECK(placed == 0);
    CHECK_FALSE(bench.outbox.accepts(false));
    bench.table.away = false;
    bench.runtime.advance(seconds(5));
    CHECK(placed == 1);
}

TEST_CASE("a holder writes the copies of a dead owner, each of them once")
{
    ledger_bench bench;
    wire::bill_copy copy;
    copy.set_owner("e9");
    *copy.add_bills() = ledger_bench::bill("r1");
    *copy.add_bills() = ledger_bench::bill("r2");
    CHECK(bench.outbox.hold(copy));
    bench.table.rows["bill/r2"] = {encodeBill(ledger_bench::bill("r2")), 1};
    bench.outbox.adopt("e9");
    bench.runtime.advance(seconds(1));
    CHECK(bench.table.rows.size() == 2);
    CHECK(bench.outbox.copies() == 0);
}

TEST_CASE("a copy is deleted once the table has it, and is written if its owner is silent")
{
    ledger_bench bench;
    wire::bill_copy copy;
    copy.set_owner("e9");
    *copy.add_bills() = ledger_bench::bill("r1");
    bench.outbox.hold(copy);
    wire::bill_copy stored;
    stored.add_stored("r1");
    bench.outbox.hold(stored);
    CHECK(bench.outbox.copies() == 0);
    bench.outbox.hold(copy);
    bench.runtime.advance(seconds(61));
    bench.outbox.adoptExpired();
    bench.runtime.advance(seconds(1));
    CHECK(bench.table.rows.count("bill/r1") == 1);
}

TEST_CASE("a bill replaces a stored bill of lower rank, but not one of higher rank")
{
    ledger_bench bench;
    wire::bill agents = ledger_bench::bill("r1");
    agents.set_provisional(true);
    bench.table.rows["bill/r1"] = {encodeBill(agents), 1};
    wire::bill own = ledger_bench::bill("r1");
    own.set_cost(9);
    bench.outbox.add(own, {});
    bench.runtime.advance(seconds(1));
    CHECK(decodeBill(bench.table.rows["bill/r1"].value)->cost() == 9);
    bench.outbox.add(agents, {});
    bench.runtime.advance(seconds(1));
    CHECK(decodeBill(bench.table.rows["bill/r1"].value)->cost() == 9);
    wire::bill unsure = agents;
    unsure.set_outcome(std::string(uncertainOutcome));
    CHECK(billRank(unsure) < billRank(agents));
    CHECK(billRank(agents) < billRank(own));
}

TEST_CASE("claims: a key is granted once; reuse of it is held, done or refused")
{
    ledger_bench bench;
    CHECK(bench.take("k1", "op1") == claim_verdict::granted);
    CHECK(bench.take("k1", "op2") == claim_verdict::held);
    CHECK(bench.take("k1", "op3", "another body") == claim_verdict::bodyMismatch);
    claim answered;
    answered.requestId = "k1";
    answered.operationId = "op1";
    answered.answer = "the answer";
    bench.claims.finish(answered);
    bench.runtime.advance(seconds(1));
    CHECK(bench.take("k1", "op4") == claim_verdict::done);
    CHECK(decodeClaim(bench.table.rows["claim/k1"].value)->answer == "the answer");
}

TEST_CASE("claims: if the answer of an insert is lost, the row is read to find the result")
{
    ledger_bench bench;
    bench.table.loseAnswer = true;
    CHECK(bench.take("k1", "op1") == claim_verdict::granted);
}

TEST_CASE("claims: a released claim can be acquired again, and only its holder releases it")
{
    ledger_bench bench;
    CHECK(bench.take("k1", "op1") == claim_verdict::granted);
    bench.claims.release("k1", "someone else");
    bench.runtime.advance(seconds(1));
    CHECK(bench.take("k1", "op2") == claim_verdict::held);
    bench.claims.release("k1", "op1");
    bench.runtime.advance(seconds(1));
    CHECK(bench.take("k1", "op3") == claim_verdict::granted);
}

TEST_CASE("claims: nothing is granted while the table is unavailable")
{
    ledger_bench bench;
    bench.table.away = true;
    CHECK(bench.take("k1", "op1") == claim_verdict::unavailable);
    bench.table.away = false;
    CHECK(bench.take("k1", "op2") == claim_verdict::granted);
}

TEST_CASE("rows survive encoding and decoding, and malformed rows are refused")
{
    wire::bill item = ledger_bench::bill("r1");
    wire::bill_step &step = *item.add_steps();
    step.set_target("m");
    step.mutable_usage()->set_prompt_tokens(5);
    CHECK(decodeBill(encodeBill(item))->SerializeAsString() == item.SerializeAsString());
    CHECK_FALSE(decodeBill("{}"));
    CHECK_FALSE(decodeBill("["));
    CHECK_FALSE(decodeClaim("nonsense"));
    CHECK(sessionKey("c", "a/b", "m").find("a/b") == std::string::npos);
}
