//===-- ByteQueue.h - bytes that wait to be written --------------*- C++ -*-===//
//
// A queue of bytes in blocks. Unlike a string, it frees what was written from its front, moves
// nothing, and never allocates much more than it holds.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_BYTEQUEUE_H
#define LAURELCROFT_LIB_PROXY_BYTEQUEUE_H

#include <asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Bytes in the order in which they are written.
class byte_queue
{
public:
    /// Buffers passed to one write.
    static constexpr std::size_t maxBuffers = 16;
    using buffers = std::array<asio::const_buffer, maxBuffers>;

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

    byte_queue &operator+=(std::string_view bytes)
    {
        m_size += bytes.size();
        while (!bytes.empty()) {
            std::string &last = lastBlock();
            const std::string_view part = bytes.substr(0, blockBytes - last.size());
            last.append(part);
            bytes.remove_prefix(part.size());
        }
        return *this;
    }

    bool isSingleBlock() const { return m_blocks.size() == 1; }
    /// \returns the bytes of the first block; there must be one.
    asio::const_buffer firstBlock() const { return asio::buffer(m_blocks.front()) + m_written; }

    /// \returns the first bytes; unused buffers are empty.
    buffers front() const
    {
        buffers result;
        const std::size_t used = std::min(maxBuffers, m_blocks.size());
        for (std::size_t i = 0; i < used; ++i)
            result[i] = asio::buffer(m_blocks[i]);
        if (used > 0)
            result[0] += m_written;
        return result;
    }

    /// Removes the first \p bytes, which must not exceed size().
    void consume(std::size_t bytes)
    {
        m_size -= bytes;
        m_written += bytes;
        while (m_written > 0 && m_written >= m_blocks.front().size()) {
            m_written -= m_blocks.front().size();
            removeFront();
        }
    }

private:
    static constexpr std::size_t blockBytes = 16384;

    std::string &lastBlock()
    {
        if (m_blocks.empty())
            return m_blocks.emplace_back();
        if (m_blocks.back().size() < blockBytes)
            return m_blocks.back();
        // More than one block is held, so the new one is likely to be filled.
        m_blocks.emplace_back().reserve(blockBytes);
        return m_blocks.back();
    }

    /// Keeps the last block for the next bytes.
    void removeFront()
    {
        if (m_blocks.size() > 1)
            m_blocks.pop_front();
        else
            m_blocks.front().clear();
    }

    std::deque<std::string> m_blocks;
    std::size_t m_size = 0;
    std::size_t m_written = 0; ///< bytes of the first block that were removed
};

} // namespace laurelcroft

#endif
