//! Messages between processes of this program: JSON in frames that begin with their length.

use std::io;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest frame.
const FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Sends one message.
pub(crate) async fn send<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), message: &T) -> io::Result<()> {
    let body = serde_json::to_vec(message)?;
    let length = u32::try_from(body.len()).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    to.write_all(&[&length.to_be_bytes()[..], &body].concat()).await
}

/// The next message; `None` where the other side has ended the connection between two.
pub(crate) async fn receive<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> io::Result<Option<T>> {
    receive_within(from, FRAME_BYTES).await
}

/// The same, of `most` bytes: nothing is read of a longer one.
pub(crate) async fn receive_within<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    most: usize,
) -> io::Result<Option<T>> {
    let length = match from.read_u32().await {
        Ok(length) => length as usize,
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(e) => return Err(e),
    };
    if length > most {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("a frame of {length} bytes, over {most}"),
        ));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    Ok(Some(serde_json::from_slice(&Bytes::from(body))?))
}
