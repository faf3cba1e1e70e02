#ifndef TANAGERSPAN_STATE_INPUT_BUFFER_H
#define TANAGERSPAN_STATE_INPUT_BUFFER_H

// Received bytes from which messages are removed at the front. Removing takes
// constant time on average, however many bytes follow.
//
// Not thread safe.

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace tanagerspan
{

class input_buffer
{
public:
    input_buffer() = default;
    explicit input_buffer(std::string bytes) : bytes_(std::move(bytes))
    {
    }

    /// Valid until the next change.
    std::string_view view() const
    {
        return std::string_view(bytes_).substr(consumed_);
    }
    std::size_t size() const
    {
        return bytes_.size() - consumed_;
    }
    bool empty() const
    {
        return size() == 0;
    }

    void append(std::string_view bytes);
    /// Removes `count` bytes, at most `size()`, from the front.
    void consume(std::size_t count);

private:
    std::string bytes_;
    std::size_t consumed_ = 0;
};

} // namespace tanagerspan

#endif
