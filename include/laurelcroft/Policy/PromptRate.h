//===-- Policy/PromptRate.h - how fast a model reads prompts -----*- C++ -*-===//
//
// Learned from the waits for first events. Waits in a queue only make a sample longer, so
// the estimate follows short samples quickly and long ones slowly.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PROMPTRATE_H
#define LAURELCROFT_POLICY_PROMPTRATE_H

namespace laurelcroft {

/// The rate of one model.
class prompt_rate
{
public:
    /// Takes the wait for a first event, in milliseconds, after \p tokens were read.
    void note(unsigned tokens, double waitMs);

    /// \returns the time that reading \p tokens is thought to take, in milliseconds.
    double expectedMs(unsigned tokens) const { return m_msPerToken * tokens; }

private:
    /// Before the first sample: a middle-sized model on a large accelerator.
    static constexpr double firstGuess = 0.01;
    double m_msPerToken = firstGuess;
};

} // namespace laurelcroft

#endif
