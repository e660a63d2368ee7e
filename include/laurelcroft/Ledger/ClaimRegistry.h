//===-- Ledger/ClaimRegistry.h - at most once, through the table -*- C++ -*-===//
//
// A request that may not be repeated and that the caller gave a key is claimed in
// the table before anything is sent. The same key again finds the claim.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LEDGER_CLAIMREGISTRY_H
#define LAURELCROFT_LEDGER_CLAIMREGISTRY_H

#include "laurelcroft/Ledger/Bill.h"
#include "laurelcroft/Platform/Table.h"
#include "laurelcroft/Support/Crypto.h"

#include <deque>
#include <utility>

namespace laurelcroft {

enum class claim_verdict {
    granted, ///< this entry holds it now
    held, ///< it runs or ran elsewhere; the answer is not known yet
    done, ///< it ran; the answer is at hand
    bodyMismatch, ///< the key was used for another request
    unavailable, ///< the table can't tell; nothing was or will be run for this call
};

struct claim_result
{
    claim_verdict verdict = claim_verdict::unavailable;
    claim found;
    milliseconds retryAfter{0};
};

/// Answers larger than this are not kept in the claim, in bytes.
inline constexpr std::size_t maxStoredAnswerBytes = 256U << 10;

/// Claims of one process.
template <runtime_like Runtime, table_like Table>
class claim_registry
{
public:
    claim_registry(Runtime &runtime, Table &table, std::string instance)
        : m_runtime(runtime)
        , m_table(table)
        , m_instance(std::move(instance))
    {
    }

    /// Tries to claim. \p mine names request, customer, body and an operation id that
    /// must be new for every call.
    void acquire(claim mine, std::function<void(claim_result)> done)
    {
        mine.state = claim_state::claimed;
        mine.entry = m_instance;
        insertResolved(m_table, claimKey(mine.requestId), encodeClaim(mine),
                       [this, mine, done](outcome<write_result, table_error> result) {
                           onInserted(mine, result, done);
                       });
    }

    /// Stores the answer of a claimed request; tried again until the table has it.
    /// \param done is called then.
    void finish(const claim &answered, std::function<void()> done = {})
    {
        enqueueWrite(answered, claim_state::done, std::move(done));
    }

    /// Gives back a claim whose request surely did not run.
    void release(const std::string &requestId, const std::string &operationId)
    {
        claim mine;
        mine.requestId = requestId;
        mine.operationId = operationId;
        enqueueWrite(mine, claim_state::released, {});
    }

    /// Reads the claim of a request.
    void find(const std::string &requestId,
              std::function<void(outcome<std::optional<claim>, table_error>)> done)
    {
        m_table.read(claimKey(requestId),
                     [done](outcome<std::optional<table_row>, table_error> row) {
                         if (!row)
                             done(failure(row.error()));
                         else if (!row.value())
                             done(std::optional<claim>());
                         else
                             done(decodeClaim(row.value()->value));
                     });
    }

    /// \returns the writes that the table does not have yet.
    std::size_t pending() const { return m_writes.size(); }

private:
    void onInserted(const claim &mine, const outcome<write_result, table_error> &result,
                    const std::function<void(claim_result)> &done)
    {
        if (!result) {
            // The row may stand there although nothing will run: take it back later.
            if (!result.error().hadNoEffect())
                release(mine.requestId, mine.operationId);
            done({claim_verdict::unavailable, mine, result.error().retryAfter});
            return;
        }
        if (result.value().done) {
            done({claim_verdict::granted, mine, milliseconds(0)});
            return;
        }
        const auto found = decodeClaim(result.value().row.value);
        if (!found) {
            done({claim_verdict::unavailable, mine, milliseconds(0)});
            return;
        }
        if (found->bodySha256 != mine.bodySha256)
            done({claim_verdict::bodyMismatch, *found, milliseconds(0)});
        else if (found->state == claim_state::done)
            done({claim_verdict::done, *found, milliseconds(0)});
        else if (found->state == claim_state::released)
            acquireReleased(mine, result.value().row.version, done);
        else
            done({claim_verdict::held, *found, heldRetryDelay});
    }

    void acquireReleased(const claim &mine, std::uint64_t version,
                         const std::function<void(claim_result)> &done)
    {
        m_table.compareAndSet(
                claimKey(mine.requestId), version, encodeClaim(mine),
                [this, mine, done](outcome<write_result, table_error> result) {
                    if (result && result.value().done) {
                        done({claim_verdict::granted, mine, milliseconds(0)});
                        return;
                    }
                    if (result) {
                        done({claim_verdict::held, mine, heldRetryDelay});
                        return;
                    }
                    if (!result.error().hadNoEffect())
                        release(mine.requestId, mine.operationId);
                    done({claim_verdict::unavailable, mine, result.error().retryAfter});
                });
    }

    struct pending_write
    {
        claim item;
        std::function<void()> done;
        time_point giveUpAt{}; ///< when a missing row is taken for never written
    };

    void enqueueWrite(claim item, claim_state state, std::function<void()> done)
    {
        item.state = state;
        // The front may be in flight: the oldest waiting one behind it is dropped.
        if (m_writes.size() >= maxPendingWrites)
            m_writes.erase(m_writes.begin() + 1);
        m_writes.push_back({std::move(item), std::move(done), m_runtime.now() + maxInsertDelay});
        writeNext();
    }

    void writeNext()
    {
        if (m_writing || m_writes.empty())
            return;
        m_writing = true;
        const claim item = m_writes.front().item;
        m_table.read(claimKey(item.requestId),
                     [this, item](outcome<std::optional<table_row>, table_error> row) {
                         if (row)
                             replace(item, row.value());
                         else
                             scheduleRetry();
                     });
    }

    void replace(const claim &item, const std::optional<table_row> &row)
    {
        const auto found = row ? decodeClaim(row->value) : std::nullopt;
        if (!row && m_runtime.now() < m_writes.front().giveUpAt) {
            // The insert that was in doubt may still be on its way.
            scheduleRetry();
            return;
        }
        // Only the claim's own holder changes it, and nothing changes a done one.
        const bool isMine = found && found->operationId == item.operationId
                && found->state == claim_state::claimed;
        if (!isMine) {
            finishWrite();
            return;
        }
        claim next = item;
        next.entry = found->entry;
        next.customer = found->customer;
        next.bodySha256 = found->bodySha256;
        m_table.compareAndSet(claimKey(item.requestId), row->version, encodeClaim(next),
                              [this](outcome<write_result, table_error> result) {
                                  if (result && result.value().done)
                                      finishWrite();
                                  else
                                      scheduleRetry();
                              });
    }

    void finishWrite()
    {
        m_writing = false;
        const auto done = std::move(m_writes.front().done);
        m_writes.pop_front();
        if (done)
            done();
        writeNext();
    }

    void scheduleRetry()
    {
        m_runtime.after(writeRetryDelay, [this] {
            m_writing = false;
            writeNext();
        });
    }

    static constexpr milliseconds heldRetryDelay{1000};
    static constexpr duration writeRetryDelay = milliseconds(500);
    static constexpr duration maxInsertDelay = seconds(30);
    static constexpr std::size_t maxPendingWrites = 10000;

    Runtime &m_runtime;
    Table &m_table;
    std::string m_instance;
    std::deque<pending_write> m_writes;
    bool m_writing = false;
};

} // namespace laurelcroft

#endif
