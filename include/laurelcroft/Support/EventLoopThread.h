//===-- Support/EventLoopThread.h - event loops and channels ----*- C++ -*-===//
//
// An event loop thread owns an asio::io_context and runs it. Such threads share no state; they
// exchange messages through channels, which are bounded single-producer, single-consumer queues.
// A push wakes the consumer.
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

/// A named thread that runs its own asio::io_context.
class event_loop_thread
{
public:
    explicit event_loop_thread(std::string name);
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread &) = delete;
    event_loop_thread &operator=(const event_loop_thread &) = delete;

    asio::io_context &context();

    /// Starts the thread. Actions that were posted earlier run first.
    void start();

    /// Stops the io_context and joins the thread. May be called more than once.
    void stop();

    /// Queues \p action to run on this thread.
    void post(std::function<void()> action);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// A bounded queue from one event loop thread to another. Only the producer's thread may push.
template <class T>
class channel
{
public:
    /// \param capacity number of messages that the queue holds.
    /// \param handler called on the consumer's thread for each message, in order.
    channel(event_loop_thread &producer, event_loop_thread &consumer, std::size_t capacity,
            std::function<void(T &&)> handler)
        : m_producer(producer)
        , m_consumer(consumer)
        , m_ring(capacity)
        , m_handler(std::move(handler))
    {
    }

    /// Pushes a message unless the queue is full.
    /// \returns false if the queue is full; \p message is then unchanged.
    bool tryPush(T &&message)
    {
        if (!m_overflow.empty() || !m_ring.push(std::move(message)))
            return false;
        wake();
        return true;
    }

    /// Pushes a message that must not be lost. While the queue is full, messages wait in order in
    /// an overflow list on the producer's side, whose length is bounded by the number of requests
    /// in flight.
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
        // Clear the flag before popping, so that a concurrent push posts another drain.
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
