#include "coordination/attempt_policy.h"

namespace tanagerspan
{
namespace
{

bool nothing_kept_whatever_ran(attempt_step step)
{
    return step != attempt_step::lone_write && step != attempt_step::commit;
}

bool can_start_anew(attempt_step step)
{
    return step != attempt_step::later_inside &&
           step != attempt_step::commit_read_only &&
           step != attempt_step::commit;
}

bool is_inside(attempt_step step)
{
    return step == attempt_step::first_inside ||
           step == attempt_step::later_inside;
}

/// The error for a caller whose statement got no answer and is not repeated.
reply_error error_without_answer(attempt_step step, attempt_failure how)
{
    if (step == attempt_step::connect || step == attempt_step::begin)
        return reply_error::busy;
    if (is_inside(step))
        return reply_error::aborted;
    if (how == attempt_failure::expired)
        return reply_error::timeout;
    return nothing_kept_whatever_ran(step) ? reply_error::failed
                                           : reply_error::in_doubt;
}

} // namespace

std::string_view name_of(attempt_failure how)
{
    switch (how)
    {
    case attempt_failure::refused:
        return "refused";
    case attempt_failure::ran:
        return "ran";
    case attempt_failure::lost:
        return "lost";
    default:
        return "expired";
    }
}

std::string_view name_of(attempt_step step)
{
    switch (step)
    {
    case attempt_step::connect:
        return "connect";
    case attempt_step::begin:
        return "begin";
    case attempt_step::lone_read:
        return "lone_read";
    case attempt_step::lone_write:
        return "lone_write";
    case attempt_step::first_inside:
        return "first_inside";
    case attempt_step::later_inside:
        return "later_inside";
    case attempt_step::commit_read_only:
        return "commit_read_only";
    default:
        return "commit";
    }
}

attempt_failure failure_of(reply_error code)
{
    switch (code)
    {
    case reply_error::busy:
    case reply_error::lagging:
    case reply_error::read_only:
    case reply_error::no_statement:
    case reply_error::wrong_endpoint:
    case reply_error::too_many_connections:
    case reply_error::aborted:
        return attempt_failure::refused;
    default:
        return attempt_failure::ran;
    }
}

attempt_ruling judge(attempt_step step, attempt_failure how, bool may_retry)
{
    bool no_answer =
        how == attempt_failure::lost || how == attempt_failure::expired;
    bool harmless =
        how == attempt_failure::refused || nothing_kept_whatever_ran(step);
    // An endpoint's word that a statement ran and failed is an answer; but a
    // read outside of a transaction can as well run elsewhere first.
    bool answered = how == attempt_failure::ran &&
                    step != attempt_step::begin &&
                    !(step == attempt_step::lone_read && may_retry);
    attempt_ruling ruling{.close_ = no_answer,
                          .roll_back_ =
                              no_answer || how == attempt_failure::refused};
    if (answered)
    {
        ruling.verdict_ = attempt_verdict::deliver;
        return ruling;
    }
    if (may_retry && harmless && can_start_anew(step) &&
        how != attempt_failure::expired)
    {
        ruling.verdict_ = attempt_verdict::retry;
        return ruling;
    }
    bool in_transaction = is_inside(step) || step == attempt_step::commit ||
                          step == attempt_step::commit_read_only;
    if (no_answer)
        ruling.error_ = error_without_answer(step, how);
    else
        ruling.error_ =
            in_transaction ? reply_error::aborted : reply_error::busy;
    return ruling;
}

} // namespace tanagerspan
