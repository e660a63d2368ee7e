//===-- Policy/PrefillRate.h - how fast a model reads prompts -----*- C++ -*-===//
//
// Learned from the waits for first events. Waits in a queue only make a sample longer, so
// the estimate follows short samples quickly and long ones slowly; the first samples count
// alike, since an entry sees few long prompts of a large model.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PREFILLRATE_H
#define LAURELCROFT_POLICY_PREFILLRATE_H

namespace laurelcroft {

/// The rate of one model.
class prefill_rate
{
public:
    /// Takes the wait for a first event, in milliseconds, after \p tokens were read.
    /// \param ownShare of the wait, 0 to 1, that these tokens are thought to have taken; the
    /// rest went to prompts before them.
    void note(unsigned tokens, double waitMs, double ownShare = 1);

    /// \returns true when a sample was taken.
    bool isKnown() const { return m_samples > 0; }

    /// \returns the time that reading a token is thought to take, in milliseconds.
    double msPerToken() const { return m_msPerToken; }

private:
    /// Before the first sample: a middle-sized model on a large accelerator.
    static constexpr double initialMsPerToken = 0.01;
    double m_msPerToken = initialMsPerToken;
    unsigned m_samples = 0;
};

} // namespace laurelcroft

#endif
