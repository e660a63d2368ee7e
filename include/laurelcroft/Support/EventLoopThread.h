//===-- Support/EventLoopThread.h - a thread for each duty, bounded rings ---*- C++ -*-===//
//
// A duty is a thread with an asio context of its own. Duties share nothing and
// speak through channels: a bounded single-producer ring that wakes its consumer.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_EVENTLOOPTHREAD_H
#define LAURELCROFT_SUPPORT_EVENTLOOPTHREAD_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// A named thread that runs one asio context.
class event_loop_thread
{
public:
    explicit event_loop_thread(std::string name);
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread &) = delete;
    event_loop_thread &operator=(const event_loop_thread &) = delete;

    asio::io_context &context();

    /// Starts the thread; what was posted before runs first.
    void start();

    /// Stops the context and joins the thread; safe to call twice.
    void stop();

    /// Runs \p action on this duty's thread.
    void post(std::function<void()> action);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// A bounded ring from one duty to another. Only the producer's thread pushes.
template <class T>
class channel
{
public:
    /// \param capacity the number of messages the ring holds.
    /// \param handler is called on the consumer's thread, once for each message, in order.
    channel(event_loop_thread &producer, event_loop_thread &consumer, std::size_t capacity,
            std::function<void(T &&)> handler)
        : m_producer(producer)
        , m_consumer(consumer)
        , m_ring(capacity)
        , m_handler(std::move(handler))
    {
    }

    /// Pushes a message that the producer may refuse instead.
    /// \returns false when the ring is full; \p message is then untouched.
    bool tryPush(T &&message)
    {
        if (!m_overflow.empty() || !m_ring.push(std::move(message)))
            return false;
        wake();
        return true;
    }

    /// Pushes a message that must not be lost. What finds the ring full waits on the
    /// producer's side, in order; the number of such messages is bounded by the
    /// requests in flight.
    void push(T message)
    {
        m_overflow.push_back(std::move(message));
        flush();
    }

private:
    void flush()
    {
        while (!m_overflow.empty() && m_ring.push(std::move(m_overflow.front())))
            m_overflow.pop_front();
        wake();
        if (m_overflow.empty() || m_retryPosted)
            return;
        m_retryPosted = true;
        m_producer.post([this] {
            m_retryPosted = false;
            flush();
        });
    }

    void wake()
    {
        if (!m_wakePosted.exchange(true))
            m_consumer.post([this] { drain(); });
    }

    void drain()
    {
        // The flag is cleared first: a push during the drain posts another one.
        m_wakePosted.store(false);
        T message;
        while (m_ring.pop(message))
            m_handler(std::move(message));
    }

    event_loop_thread &m_producer;
    event_loop_thread &m_consumer;
    boost::lockfree::spsc_queue<T> m_ring;
    std::function<void(T &&)> m_handler;
    std::deque<T> m_overflow;
    bool m_retryPosted = false;
    std::atomic<bool> m_wakePosted{false};
};

} // namespace laurelcroft

#endif
