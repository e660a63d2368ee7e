//===-- Policy/PrefillRate.h - estimated prompt processing rate -*- C++ -*-===//
//
// Estimates how fast a model processes prompts from the waits for first events. Queueing only makes
// a sample longer, so shorter samples have a larger weight than longer ones. The first samples have
// equal weights, since an entry sees few long prompts of a large model.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PREFILLRATE_H
#define LAURELCROFT_POLICY_PREFILLRATE_H

namespace laurelcroft {

/// The estimate for one model.
class prefill_rate
{
public:
    /// Adds a sample.
    /// \param waitMs wait for the first event, in milliseconds, after a prompt of \p tokens.
    /// \param ownShare estimated share of the wait, 0 to 1, that was spent on these tokens; the
    /// rest was spent on prompts queued before them.
    void addSample(unsigned tokens, double waitMs, double ownShare = 1);

    /// \returns true if there is at least one sample.
    bool isKnown() const { return m_samples > 0; }

    /// \returns the estimated processing time per token, in milliseconds.
    double msPerToken() const { return m_msPerToken; }

private:
    /// Used before the first sample: a medium-sized model on a large accelerator.
    static constexpr double initialMsPerToken = 0.01;
    double m_msPerToken = initialMsPerToken;
    unsigned m_samples = 0;
};

} // namespace laurelcroft

#endif
