#include "transport/endpoint_client.h"

namespace tanagerspan
{

failure refusal_of(const http_answer& answer)
{
    auto record = decode_text<failure_record>(answer.body_);
    if (!record)
        return {error_code::lost, "malformed error answer"};
    auto code = error_code_of(record->error_);
    if (name_of(code) != record->error_)
        code = error_code::lost;
    return {code, record->detail_};
}

} // namespace tanagerspan
