//===-- GoldenTests.cpp - golden tests of simulated sessions ----------------===//
//
// Each test records the requests, decisions with reasons, answers and bills of a session
// and compares the text byte for byte with a golden file. After an intended change, run
// with LAURELCROFT_GOLDEN_NEW=1: it writes NAME.txt.new beside each golden file NAME.txt.
// Review the difference before you replace the golden file.
//
//===----------------------------------------------------------------------===//
#include "Scenarios.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace laurelcroft;
using namespace laurelcroft::testing;

namespace {

constexpr duration maxAnswerWait = seconds(90);
constexpr duration settleTime = seconds(30);

/// Runs one session in a simulated site and records it as text.
class golden_session
{
public:
    explicit golden_session(const bundle &rules)
        : m_site(1, {}, sabotage::none)
    {
        m_site.startSite(rules);
        m_startedAt = m_site.clock.now();
    }

    simulated_site &site() { return m_site; }

    /// Writes \p line with the time since the session began.
    void writeLine(const std::string &line) { m_text << clockText() << line << "\n"; }

    caller_id send(const std::string &entry, const std::string &target, const std::string &session,
                   const std::string &key)
    {
        caller_request request;
        request.key = "key-school";
        request.target = target;
        request.session = session;
        request.idempotencyKey = key;
        request.body = "{\"messages\":[{\"role\":\"user\",\"content\":\"" + target + "\"}]}";
        if (target == "publish")
            request.kind = wire::work_service;
        writeLine("request to " + entry + ": " + target + (key.empty() ? "" : ", key " + key)
                  + (session.empty() ? "" : ", in its session"));
        return m_site.send(entry, request);
    }

    /// Waits for the answer and writes it after the decisions made meanwhile.
    caller_record awaitAnswer(caller_id id)
    {
        m_site.runUntil([&] { return m_site.caller(id).ended; }, maxAnswerWait);
        writeDecisions();
        const caller_record record = m_site.caller(id);
        std::string line = "answer " + std::to_string(record.status);
        for (const char *name : {"X-Laurelcroft-Model", "X-Laurelcroft-Version",
                                 "X-Laurelcroft-Bundle", "X-Laurelcroft-Replayed", "Retry-After"}) {
            if (!record.header(name).empty())
                line += std::string(" ") + name + "=" + record.header(name);
        }
        if (!record.code.empty())
            line += " code=" + record.code + " executed=" + record.executed;
        else
            line += " body=" + record.body;
        writeLine(line);
        return record;
    }

    void wait(duration time) { m_site.clock.advance(time); }

    /// Lets the site settle. \returns the recorded text with the bills and any violations.
    std::string text()
    {
        wait(settleTime);
        writeDecisions();
        for (const auto &[key, row] : m_site.store.rows) {
            const auto bill = decodeBill(row.value);
            if (key.rfind("bill/", 0) != 0 || !bill)
                continue;
            m_text << "bill " << bill->outcome() << " cost " << shortNumber(bill->cost()) << ":";
            for (const wire::bill_step &step : bill->steps())
                m_text << " " << step.target() << "@" << step.version() << " at "
                       << step.endpoint();
            m_text << "\n";
        }
        for (const violation &item : audit(m_site))
            m_text << "VIOLATION " << testing::textOf(item.which) << ": " << item.detail << "\n";
        return m_text.str();
    }

private:
    std::string clockText() const
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(m_site.clock.now() - m_startedAt);
        return "[" + std::to_string(ms.count()) + " ms] ";
    }

    void writeDecisions()
    {
        for (; m_decisionsWritten < m_site.decisions.size(); ++m_decisionsWritten) {
            const decision &made = m_site.decisions[m_decisionsWritten];
            m_text << "    " << textOf(made.kind) << ": " << made.chosen << " of "
                   << made.considered << (made.reason.empty() ? "" : ", " + made.reason)
                   << ", epoch " << made.epoch << "\n";
        }
    }

    simulated_site m_site;
    time_point m_startedAt{};
    std::ostringstream m_text;
    std::size_t m_decisionsWritten = 0;
};

} // namespace

/// Compares \p text with the golden file of \p name.
static void compareWithFile(const std::string &name, const std::string &text)
{
    const std::string path = std::string(GOLDEN_DIR) + "/" + name + ".txt";
    std::ifstream in(path);
    const std::string expected{std::istreambuf_iterator<char>(in), {}};
    if (std::getenv("LAURELCROFT_GOLDEN_NEW") != nullptr)
        std::ofstream(path + ".new") << text;
    CHECK(text == expected);
}

/// \returns the test bundle with a roll-out of large@2 to \p share percent of new sessions.
static bundle rollingBundle(std::uint32_t share)
{
    bundle rules = testBundle();
    rules.models[1].versions[1].state = version_state::rollout;
    rules.rollouts = {{"large", "1", "2", share, {0.1, 0.001, 30}}};
    return rules;
}

TEST_CASE("golden: a session of several days keeps its versions during a roll-out")
{
    golden_session session(rollingBundle(0));
    const std::string token = session.awaitAnswer(session.send("e1", "plan", "", ""))
                                      .header("X-Laurelcroft-Session");
    session.writeLine("the roll-out of large to 2 takes all new sessions");
    session.site().acceptBundle(rollingBundle(100));
    session.wait(std::chrono::hours(24));
    session.awaitAnswer(session.send("e2", "plan", token, ""));
    session.writeLine("a colleague begins a draft of her own");
    session.awaitAnswer(session.send("e2", "plan", "", ""));
    session.wait(std::chrono::hours(24));
    session.awaitAnswer(session.send("e1", "plan", token, ""));
    compareWithFile("bureau-draft", session.text());
}

TEST_CASE("golden: the version of a named session is withdrawn")
{
    golden_session session(testBundle());
    session.site().cheapTierScore = 0.9;
    session.awaitAnswer(session.send("e1", "plan", "route-7", ""));
    session.awaitAnswer(session.send("e2", "plan", "route-7", ""));
    bundle withdrawn = testBundle();
    withdrawn.models[0].versions[1].state = version_state::withdrawn;
    session.writeLine("small@2 is withdrawn");
    session.site().acceptBundle(withdrawn);
    session.wait(seconds(5));
    session.awaitAnswer(session.send("e1", "plan", "route-7", ""));
    session.awaitAnswer(session.send("e1", "plan", "route-8", ""));
    compareWithFile("kartvik-route", session.text());
}

TEST_CASE("golden: a rebuild whose answer is lost is not run again")
{
    golden_session session(testBundle());
    const caller_id lost = session.send("e1", "rebuild", "", "term-rebuild");
    session.site().runUntil([&] { return !session.site().engineStarts.empty(); }, maxAnswerWait);
    session.writeLine("the caller's connection breaks");
    session.site().disconnectCaller(lost);
    session.awaitAnswer(session.send("e2", "rebuild", "", "term-rebuild"));
    session.wait(seconds(2));
    session.awaitAnswer(session.send("e2", "rebuild", "", "term-rebuild"));
    compareWithFile("bureau-rebuild", session.text());
}

TEST_CASE("golden: cascades and a rebuild while the table is down")
{
    golden_session session(testBundle());
    session.writeLine("the table is down for a minute");
    session.site().store.downUntil = session.site().clock.now() + seconds(60);
    session.awaitAnswer(session.send("e1", "plan", "", ""));
    session.awaitAnswer(session.send("e1", "rebuild", "", "term-rebuild"));
    session.awaitAnswer(session.send("e2", "plan", "", ""));
    session.wait(seconds(60));
    session.writeLine("the table is back");
    session.awaitAnswer(session.send("e1", "rebuild", "", "term-rebuild"));
    compareWithFile("bureau-outage", session.text());
}
