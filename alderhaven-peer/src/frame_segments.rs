//! The received parts of a frame, which are kept as they were read.
//!
//! One buffer that grows with the frame would be copied again and again, and an allocator keeps large
//! buffers for long after they were freed.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

/// The parts of a frame in their order.
#[derive(Debug, Default)]
pub struct FrameSegments {
    segments: VecDeque<Bytes>,
    length: usize,
}

impl FrameSegments {
    /// Moves up to `max` bytes from a read buffer to the end.
    pub fn take_from(&mut self, source: &mut BytesMut, max: usize) {
        let count = source.len().min(max);
        if count > 0 {
            self.length += count;
            self.segments.push_back(source.split_to(count).freeze());
        }
    }

    /// Gets the number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns true if there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }
}

impl Buf for FrameSegments {
    fn remaining(&self) -> usize {
        self.length
    }

    fn chunk(&self) -> &[u8] {
        self.segments.front().map_or(&[], Buf::chunk)
    }

    fn advance(&mut self, mut count: usize) {
        self.length -= count;
        while let Some(front) = self.segments.front_mut() {
            if count < front.len() {
                front.advance(count);
                return;
            }
            count -= front.len();
            self.segments.pop_front();
        }
    }
}
