//===-- EventLoopThread.cpp - thread that runs an io_context ----------------===//
//
// The work guard keeps io_context::run() from returning while no work is queued.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/EventLoopThread.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <pthread.h>

#include <thread>

using namespace laurelcroft;

namespace {
/// pthread_setname_np() rejects names of more than 15 characters on Linux.
constexpr std::size_t maxThreadNameLength = 15;
} // namespace

struct event_loop_thread::state
{
    explicit state(std::string name)
        : name(std::move(name))
        , guard(asio::make_work_guard(context))
    {
    }
    std::string name;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::thread thread;
};

event_loop_thread::event_loop_thread(std::string name)
    : m_state(std::make_unique<state>(std::move(name)))
{
}

event_loop_thread::~event_loop_thread()
{
    stop();
}

asio::io_context &event_loop_thread::context()
{
    return m_state->context;
}

void event_loop_thread::start()
{
    m_state->thread = std::thread([this] { m_state->context.run(); });
    const std::string name = m_state->name.substr(0, maxThreadNameLength);
    pthread_setname_np(m_state->thread.native_handle(), name.c_str());
}

void event_loop_thread::stop()
{
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

void event_loop_thread::post(std::function<void()> action)
{
    asio::post(m_state->context, std::move(action));
}
