//===-- Ledger/BillOutbox.h - replicated queue of bills ----------*- C++ -*-===//
//
// Queues the bills of a process until the table has stored them. Until then, a second
// process holds a copy of each bill, in another data centre if there is one. A row is
// inserted only if absent, so both processes may write it without duplicating the bill.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LEDGER_BILLOUTBOX_H
#define LAURELCROFT_LEDGER_BILLOUTBOX_H

#include "laurelcroft/Ledger/Bill.h"
#include "laurelcroft/Platform/Table.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace laurelcroft {

/// Access to the other processes that an outbox needs.
template <class P>
concept bill_port = requires(P port, const std::string &holder, const wire::bill_copy &copy,
                             std::function<void(bool)> done)
{
    {
        port.billHolders()
        } -> std::same_as<std::vector<std::string>>;
    port.copyBills(holder, copy, done);
};

/// Delays and limits of an outbox.
struct outbox_options
{
    duration copyDelay = milliseconds(1); ///< bills added within this delay are copied together
    duration flushPeriod = milliseconds(100); ///< pause between batches to the table
    std::size_t maxBatchRows = 100; ///< rows inserted into the table by one call
    std::size_t maxBills = 100000; ///< own bills and copies together
    duration maxCopyAge = seconds(60); ///< the holder writes an older copy itself
};

/// The bills of one process: its own, and the copies that it holds for others.
template <runtime_like Runtime, table_like Table, bill_port Port>
class bill_outbox
{
public:
    bill_outbox(Runtime &runtime, Table &table, Port &port, std::string instance,
                outbox_options options = {})
        : m_runtime(runtime)
        , m_table(table)
        , m_port(port)
        , m_instance(std::move(instance))
        , m_options(options)
    {
    }

    /// Queues a bill. \param done is called once a second process or the table has stored it.
    void add(wire::bill item, std::function<void()> done)
    {
        const std::string id = item.request_id();
        own_bill &own = m_ownBills[id];
        own.bill = std::move(item);
        if (done)
            own.callbacks.push_back(std::move(done));
        m_uncopiedIds.push_back(id);
        scheduleCopy();
        scheduleFlush();
    }

    /// Stores copies for another process, and deletes those that the table has stored.
    /// \returns false if the copies were refused: the outbox is full, or this process stops.
    bool hold(const wire::bill_copy &copy)
    {
        if (m_closing && copy.bills_size() > 0)
            return false;
        for (const std::string &id : copy.stored())
            m_heldCopies.erase(id);
        if (m_ownBills.size() + m_heldCopies.size() + static_cast<std::size_t>(copy.bills_size())
            > m_options.maxBills)
            return false;
        for (const wire::bill &item : copy.bills())
            m_heldCopies[item.request_id()] = {item, copy.owner(), m_runtime.now()};
        return true;
    }

    /// Refuses further copies and takes over those held, because this process stops as planned.
    void adoptAll()
    {
        m_closing = true;
        std::set<std::string> owners;
        for (const auto &[id, held] : m_heldCopies)
            owners.insert(held.owner);
        for (const std::string &owner : owners)
            adopt(owner);
    }

    /// Handles the death of another process: takes over the copies that it owned, and sends
    /// the own bills that it held as copies to another holder.
    void onPeerDead(const std::string &peer)
    {
        adopt(peer);
        for (auto &[id, own] : m_ownBills) {
            if (own.holder != peer)
                continue;
            own.holder.clear();
            m_uncopiedIds.push_back(id);
        }
        if (!m_uncopiedIds.empty())
            scheduleCopy();
    }

    /// Takes over the copies of \p owner: they become own bills, so this process writes them.
    void adopt(const std::string &owner)
    {
        for (auto it = m_heldCopies.begin(); it != m_heldCopies.end();) {
            if (it->second.owner != owner) {
                ++it;
                continue;
            }
            add(it->second.bill, {});
            it = m_heldCopies.erase(it);
        }
    }

    /// Takes over all copies of each owner that has left one of them unwritten for longer than
    /// \c maxCopyAge. Must be called every few seconds.
    void adoptExpired()
    {
        std::set<std::string> owners;
        for (const auto &[id, held] : m_heldCopies) {
            if (m_runtime.now() - held.receivedAt > m_options.maxCopyAge)
                owners.insert(held.owner);
        }
        for (const std::string &owner : owners)
            adopt(owner);
    }

    /// \returns true if a new bill can be stored safely: there is room, and the table or
    /// another holder can be reached.
    bool accepts(bool tableReachable)
    {
        if (m_ownBills.size() + m_heldCopies.size() >= m_options.maxBills)
            return false;
        return tableReachable || !m_port.billHolders().empty();
    }

    /// Sets the time between batches. Where many processes write, a longer period keeps their
    /// batches full and the total call rate within the table's limit.
    void setFlushPeriod(duration period) { m_options.flushPeriod = period; }

    /// \returns the number of own bills that the table has not stored yet.
    std::size_t pending() const { return m_ownBills.size(); }
    std::size_t copies() const { return m_heldCopies.size(); }

    /// \returns true if neither own bills nor copies remain to be written.
    bool isEmpty() const { return m_ownBills.empty() && m_heldCopies.empty(); }

private:
    struct own_bill
    {
        wire::bill bill;
        std::string holder; ///< instance that acknowledged the copy; empty until then
        std::vector<std::function<void()>> callbacks;
    };
    struct held_copy
    {
        wire::bill bill;
        std::string owner;
        time_point receivedAt{};
    };

    static void runCallbacks(own_bill &own)
    {
        const auto callbacks = std::move(own.callbacks);
        own.callbacks.clear();
        for (const auto &done : callbacks)
            done();
    }

    void scheduleCopy()
    {
        if (m_copyScheduled)
            return;
        m_copyScheduled = true;
        m_runtime.after(m_options.copyDelay, [this] {
            m_copyScheduled = false;
            copyPending();
        });
    }

    void copyPending()
    {
        std::vector<std::string> ids = std::move(m_uncopiedIds);
        m_uncopiedIds.clear();
        copyTo(ids, 0);
    }

    /// Sends copies to the holder at \p rank, and to the next one unless they are acknowledged.
    void copyTo(const std::vector<std::string> &ids, std::size_t rank)
    {
        wire::bill_copy copy;
        copy.set_owner(m_instance);
        for (const std::string &id : ids) {
            const auto it = m_ownBills.find(id);
            if (it != m_ownBills.end() && it->second.holder.empty())
                *copy.add_bills() = it->second.bill;
        }
        const std::vector<std::string> holders = m_port.billHolders();
        if (copy.bills_size() == 0)
            return;
        if (rank >= std::min(holders.size(), maxHolders)) {
            m_uncopiedIds.insert(m_uncopiedIds.end(), ids.begin(), ids.end());
            scheduleCopyRetry();
            return;
        }
        const std::string &holder = holders[rank];
        m_port.copyBills(holder, copy, [this, ids, rank, holder](bool held) {
            if (!held) {
                copyTo(ids, rank + 1);
                return;
            }
            for (const std::string &id : ids)
                markCopied(id, holder);
        });
    }

    void markCopied(const std::string &id, const std::string &holder)
    {
        const auto it = m_ownBills.find(id);
        if (it == m_ownBills.end()) {
            // The table stored the bill first, so the holder may delete its copy.
            m_storedByHolder[holder].push_back(id);
            return;
        }
        it->second.holder = holder;
        runCallbacks(it->second);
    }

    void scheduleCopyRetry()
    {
        if (m_copyScheduled)
            return;
        m_copyScheduled = true;
        m_runtime.after(copyRetryDelay, [this] {
            m_copyScheduled = false;
            copyPending();
        });
    }

    void scheduleFlush()
    {
        if (m_flushScheduled || m_ownBills.empty())
            return;
        m_flushScheduled = true;
        m_runtime.after(m_flushDelay, [this] { flush(); });
        m_flushDelay = m_options.flushPeriod;
    }

    void flush()
    {
        std::vector<std::string> ids;
        std::vector<new_row> rows;
        for (const auto &[id, own] : m_ownBills) {
            if (rows.size() >= m_options.maxBatchRows)
                break;
            ids.push_back(id);
            rows.push_back({billKey(id), encodeBill(own.bill)});
        }
        if (rows.empty()) {
            m_flushScheduled = false;
            return;
        }
        m_table.insertAll(rows, [this, ids](outcome<std::vector<write_result>, table_error> done) {
            m_flushScheduled = false;
            if (done)
                onBatchWritten(ids, done.value());
            else
                m_flushDelay = std::max<duration>(
                        m_options.flushPeriod * 5,
                        std::min<duration>(done.error().retryAfter, maxFlushDelay));
            scheduleFlush();
        });
    }

    void onBatchWritten(const std::vector<std::string> &ids,
                        const std::vector<write_result> &results)
    {
        for (std::size_t i = 0; i < ids.size(); ++i) {
            const auto it = m_ownBills.find(ids[i]);
            if (it == m_ownBills.end())
                continue;
            if (results[i].done || !supersedes(it->second.bill, results[i].row))
                markStored(ids[i]);
            else
                replaceProvisional(ids[i], results[i].row.version);
        }
        notifyHolders();
    }

    /// \returns true if \p own has a higher rank than the stored bill and must replace it.
    /// An agent that lost its entry writes a provisional bill of the step that it knows; the
    /// entry's final bill, with the sum over all steps, replaces it.
    static bool supersedes(const wire::bill &own, const table_row &row)
    {
        const auto found = decodeBill(row.value);
        return found && billRank(own) > billRank(*found);
    }

    void replaceProvisional(const std::string &id, std::uint64_t version)
    {
        const auto it = m_ownBills.find(id);
        m_table.compareAndSet(billKey(id), version, encodeBill(it->second.bill),
                              [this, id](outcome<write_result, table_error> result) {
                                  if (result && result.value().done)
                                      markStored(id);
                              });
    }

    void markStored(const std::string &id)
    {
        auto node = m_ownBills.extract(id);
        if (node.empty())
            return;
        own_bill &own = node.mapped();
        if (!own.holder.empty())
            m_storedByHolder[own.holder].push_back(id);
        runCallbacks(own);
    }

    void notifyHolders()
    {
        auto stored = std::move(m_storedByHolder);
        m_storedByHolder.clear();
        for (const auto &[holder, ids] : stored) {
            wire::bill_copy copy;
            copy.set_owner(m_instance);
            for (const std::string &id : ids)
                copy.add_stored(id);
            // If this message is lost, the holder only inserts the row a second time.
            m_port.copyBills(holder, copy, [](bool) {});
        }
    }

    static constexpr std::size_t maxHolders = 3;
    static constexpr duration copyRetryDelay = milliseconds(200);
    static constexpr duration maxFlushDelay = seconds(2);

    Runtime &m_runtime;
    Table &m_table;
    Port &m_port;
    std::string m_instance;
    outbox_options m_options;
    std::map<std::string, own_bill> m_ownBills;
    std::map<std::string, held_copy> m_heldCopies;
    std::map<std::string, std::vector<std::string>> m_storedByHolder;
    std::vector<std::string> m_uncopiedIds;
    bool m_closing = false;
    bool m_copyScheduled = false;
    bool m_flushScheduled = false;
    duration m_flushDelay = milliseconds(50);
};

} // namespace laurelcroft

#endif
