//===-- Ledger/ClaimRegistry.h - at-most-once execution ----------*- C++ -*-===//
//
// A non-repeatable request with a key chosen by its caller is claimed in the table
// before anything is sent. A later request with the same key finds that claim.
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

/// Result of an attempt to claim a request.
enum class claim_verdict {
    granted, ///< this entry now holds the claim
    held, ///< held by another attempt, whose answer is not known yet
    done, ///< the request ran; the claim holds its answer if it was stored
    bodyMismatch, ///< the key was used for a different request
    unavailable, ///< the table's state is unknown; this call runs nothing
};

struct claim_result
{
    claim_verdict verdict = claim_verdict::unavailable;
    claim found;
    milliseconds retryAfter{0};
};

/// Size in bytes above which an answer is not stored in the claim.
inline constexpr std::size_t maxStoredAnswerBytes = 256U << 10;

/// Acquires, completes and releases the claims of one process.
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

    /// Tries to claim a request. \p wanted names the request, its customer and digest, and an
    /// operation id that must be unique to each call.
    void acquire(claim wanted, std::function<void(claim_result)> done)
    {
        wanted.state = claim_state::claimed;
        wanted.entry = m_instance;
        insertResolved(m_table, claimKey(wanted.requestId), encodeClaim(wanted),
                       [this, wanted, done](outcome<write_result, table_error> result) {
                           onInserted(wanted, result, done);
                       });
    }

    /// Stores the answer of a claimed request, and retries until the table has it.
    /// \param done is called when no further write is needed.
    void finish(const claim &answered, std::function<void()> done = {})
    {
        enqueueWrite(answered, claim_state::done, std::move(done));
    }

    /// Releases a claim whose request certainly did not run.
    void release(const std::string &requestId, const std::string &operationId)
    {
        claim released;
        released.requestId = requestId;
        released.operationId = operationId;
        enqueueWrite(released, claim_state::released, {});
    }

    /// Reads the claim of a request; empty if there is none or the row is malformed.
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

    /// \returns the number of writes that are not completed yet.
    std::size_t pending() const { return m_writes.size(); }

private:
    void onInserted(const claim &wanted, const outcome<write_result, table_error> &result,
                    const std::function<void(claim_result)> &done)
    {
        if (!result) {
            // The insert may have taken effect although nothing will run: release the claim later.
            if (!result.error().hadNoEffect())
                release(wanted.requestId, wanted.operationId);
            done({claim_verdict::unavailable, wanted, result.error().retryAfter});
            return;
        }
        if (result.value().done) {
            done({claim_verdict::granted, wanted, milliseconds(0)});
            return;
        }
        const auto found = decodeClaim(result.value().row.value);
        if (!found) {
            done({claim_verdict::unavailable, wanted, milliseconds(0)});
            return;
        }
        if (found->bodySha256 != wanted.bodySha256)
            done({claim_verdict::bodyMismatch, *found, milliseconds(0)});
        else if (found->state == claim_state::done)
            done({claim_verdict::done, *found, milliseconds(0)});
        else if (found->state == claim_state::released)
            acquireReleased(wanted, result.value().row.version, done);
        else
            done({claim_verdict::held, *found, heldRetryDelay});
    }

    void acquireReleased(const claim &wanted, std::uint64_t version,
                         const std::function<void(claim_result)> &done)
    {
        m_table.compareAndSet(
                claimKey(wanted.requestId), version, encodeClaim(wanted),
                [this, wanted, done](outcome<write_result, table_error> result) {
                    if (result && result.value().done) {
                        done({claim_verdict::granted, wanted, milliseconds(0)});
                        return;
                    }
                    if (result) {
                        done({claim_verdict::held, wanted, heldRetryDelay});
                        return;
                    }
                    if (!result.error().hadNoEffect())
                        release(wanted.requestId, wanted.operationId);
                    done({claim_verdict::unavailable, wanted, result.error().retryAfter});
                });
    }

    struct pending_write
    {
        claim item;
        std::function<void()> done;
        time_point giveUpAt{}; ///< from then on, a missing row counts as never written
    };

    void enqueueWrite(claim item, claim_state state, std::function<void()> done)
    {
        item.state = state;
        // The front may be in flight, so the oldest write behind it is dropped.
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
            // The insert with an unknown result may still take effect.
            scheduleRetry();
            return;
        }
        // Only the holder may change a claim, and nobody may change a completed one.
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
