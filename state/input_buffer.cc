#include "state/input_buffer.h"

namespace tanagerspan
{

void input_buffer::append(std::string_view bytes)
{
    // Moves the rest only when as many bytes were consumed, so that each byte
    // is moved about once.
    if (consumed_ >= size())
    {
        bytes_.erase(0, consumed_);
        consumed_ = 0;
    }
    bytes_.append(bytes);
}

void input_buffer::consume(std::size_t count)
{
    consumed_ += count;
    if (!empty())
        return;
    bytes_.clear();
    consumed_ = 0;
}

} // namespace tanagerspan
