//===-- Ledger/BillOutbox.h - bills until the table has them -----*- C++ -*-===//
//
// A bill stands in two processes, in different data centres where there are two,
// until the table holds it. The table's row is inserted if absent, so that both
// may write it and it still stands there once.
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

/// What the outbox needs of the other processes.
template <class P>
concept bill_port = requires(P port, const std::string &holder, const wire::bill_copy &copy,
                             std::function<void(bool)> done)
{
    {
        port.billHolders()
        } -> std::same_as<std::vector<std::string>>;
    port.copyBills(holder, copy, done);
};

/// Periods and bounds of an outbox.
struct outbox_options
{
    duration copyDelay = milliseconds(1); ///< bills that are copied together
    duration flushPeriod = milliseconds(100); ///< between batches to the table
    std::size_t maxBatchRows = 100; ///< rows in a batch
    std::size_t maxBills = 100000; ///< bills held, own and copies
    duration maxCopyAge = seconds(60); ///< a copy is written by its holder after this
};

/// The bills of one process, its own and the copies it holds for others.
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

    /// Takes a bill. \param done is called once a second process or the table holds it.
    void add(wire::bill item, std::function<void()> done)
    {
        const std::string id = item.request_id();
        own_bill &mine = m_ownBills[id];
        mine.bill = std::move(item);
        if (done)
            mine.callbacks.push_back(std::move(done));
        m_uncopiedIds.push_back(id);
        scheduleCopy();
        scheduleFlush();
    }

    /// Holds copies for another process, and forgets those that the table has.
    /// \returns false when there is no room.
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

    /// This process stops as planned: it takes no more copies and writes those it holds.
    void adoptAll()
    {
        m_closing = true;
        std::set<std::string> owners;
        for (const auto &[id, held] : m_heldCopies)
            owners.insert(held.owner);
        for (const std::string &owner : owners)
            adopt(owner);
    }

    /// Another process is gone: copies that it owned are written from here, and own bills
    /// whose copy it held get another holder.
    void peerGone(const std::string &peer)
    {
        adopt(peer);
        for (auto &[id, mine] : m_ownBills) {
            if (mine.holder != peer)
                continue;
            mine.holder.clear();
            m_uncopiedIds.push_back(id);
        }
        if (!m_uncopiedIds.empty())
            scheduleCopy();
    }

    /// The owner of copies is gone: they are written from here.
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

    /// Writes copies whose owner kept them for long; call it every few seconds.
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

    /// \returns true when a new bill has a place: there is room, and a second holder or
    /// the table can be reached.
    bool accepts(bool tableReachable)
    {
        if (m_ownBills.size() + m_heldCopies.size() >= m_options.maxBills)
            return false;
        return tableReachable || !m_port.billHolders().empty();
    }

    /// Sets the time between batches. Many processes flush more rarely, so that batches
    /// stay full and the table's rate is kept.
    void setFlushPeriod(duration period) { m_options.flushPeriod = period; }

    /// \returns own bills that the table does not have yet.
    std::size_t pending() const { return m_ownBills.size(); }
    std::size_t copies() const { return m_heldCopies.size(); }

    /// \returns true when nothing, own or another's, waits for the table.
    bool isEmpty() const { return m_ownBills.empty() && m_heldCopies.empty(); }

private:
    struct own_bill
    {
        wire::bill bill;
        std::string holder; ///< empty until a copy was acknowledged
        std::vector<std::function<void()>> callbacks;
    };
    struct held_copy
    {
        wire::bill bill;
        std::string owner;
        time_point receivedAt{};
    };

    static void runCallbacks(own_bill &mine)
    {
        const auto callbacks = std::move(mine.callbacks);
        mine.callbacks.clear();
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

    /// Sends copies to the holder at \p rank, and to the next one when it does not answer.
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
            // The table was faster: the holder may forget its copy at once.
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
        for (const auto &[id, mine] : m_ownBills) {
            if (rows.size() >= m_options.maxBatchRows)
                break;
            ids.push_back(id);
            rows.push_back({billKey(id), encodeBill(mine.bill)});
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

    /// A row that knows less of the request gives way: an agent that lost its entry
    /// writes what it knows, and the entry's own bill, with the sum over all steps,
    /// takes its place.
    static bool supersedes(const wire::bill &mine, const table_row &row)
    {
        const auto found = decodeBill(row.value);
        return found && billRank(mine) > billRank(*found);
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
        own_bill &mine = node.mapped();
        if (!mine.holder.empty())
            m_storedByHolder[mine.holder].push_back(id);
        runCallbacks(mine);
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
            // A lost word costs nothing but a second insert by the holder.
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
