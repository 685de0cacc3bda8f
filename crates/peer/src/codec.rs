//! Signing, verification and framing of messages.

use crate::wire::{AuthenticatedMessage, PeerFrame};
use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const AUTHENTICATION_CODE_BYTES: usize = 16;

/// Why a message or a peer key was rejected, or why a request got no reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection broke.
    #[error("the connection to the VM broke: {0}")]
    Broken(#[from] io::Error),
    /// The message can't be decoded.
    #[error("the message is malformed: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The authentication code is wrong.
    #[error("the message's authentication code is wrong")]
    WrongCode,
    /// A field of the message holds an invalid value.
    #[error("the message has an invalid value in `{0}`")]
    BadValue(&'static str),
    /// No connection could be made; nothing was sent.
    #[error("the VM can't be reached")]
    Unreachable,
    /// The reply did not arrive in time.
    #[error("the VM's reply did not arrive in time")]
    Timeout,
    /// The key is not 64 hexadecimal digits.
    #[error("the peer key must have 64 hexadecimal digits")]
    BadKey,
}

/// The secret key that all VMs share; signs and verifies their messages.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Parses a key of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails with [`PeerError::BadKey`] on any other text.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_peer::PeerKey;
    ///
    /// assert!(PeerKey::parse(&"0f".repeat(32)).is_ok());
    /// assert!(PeerKey::parse("short").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, PeerError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| PeerError::BadKey)?;
        Ok(PeerKey(*hash.as_bytes()))
    }

    /// Returns the authentication code of the data.
    pub fn authentication_code(&self, data: &[u8]) -> [u8; AUTHENTICATION_CODE_BYTES] {
        let hash = blake3::keyed_hash(&self.0, data);
        let mut code = [0; AUTHENTICATION_CODE_BYTES];
        code.copy_from_slice(&hash.as_bytes()[..AUTHENTICATION_CODE_BYTES]);
        code
    }

    /// Reports whether a code belongs to the data; compares in constant time.
    pub fn verify(&self, data: &[u8], code: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        self.authentication_code(data).as_slice().ct_eq(code).into()
    }

    /// Wraps an encoded message together with its authentication code.
    pub(crate) fn sign(&self, body: Vec<u8>) -> Vec<u8> {
        let code = self.authentication_code(&body).to_vec();
        AuthenticatedMessage { code, body }.encode_to_vec()
    }

    /// Verifies a signed message and returns its body.
    pub(crate) fn verify_and_unwrap(&self, signed: &[u8]) -> Result<Vec<u8>, PeerError> {
        let signed = AuthenticatedMessage::decode(signed)?;
        match self.verify(&signed.body, &signed.code) {
            true => Ok(signed.body),
            false => Err(PeerError::WrongCode),
        }
    }
}

/// Codec for the frames of a connection; signs and verifies each frame.
pub struct PeerCodec {
    key: PeerKey,
    frames: LengthDelimitedCodec,
}

impl PeerCodec {
    /// Creates a codec for one connection.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use skylarkshed_peer::wire::{PeerBody, PeerFrame};
    /// use skylarkshed_peer::{PeerCodec, PeerKey};
    /// use tokio_util::codec::{Decoder, Encoder};
    ///
    /// let mut codec = PeerCodec::new(PeerKey::parse(&"0f".repeat(32)).unwrap());
    /// let frame = PeerFrame { request: 1, body: Some(PeerBody::Pull(7)) };
    /// let mut bytes = BytesMut::new();
    /// codec.encode(frame.clone(), &mut bytes).unwrap();
    /// assert_eq!(codec.decode(&mut bytes).unwrap(), Some(frame));
    /// ```
    pub fn new(key: PeerKey) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        PeerCodec { key, frames }
    }
}

impl Decoder for PeerCodec {
    type Item = PeerFrame;
    type Error = PeerError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerFrame>, PeerError> {
        match self.frames.decode(source)? {
            None => Ok(None),
            Some(signed) => {
                let body = self.key.verify_and_unwrap(&signed)?;
                Ok(Some(PeerFrame::decode(body.as_slice())?))
            }
        }
    }
}

impl Encoder<PeerFrame> for PeerCodec {
    type Error = PeerError;

    fn encode(&mut self, frame: PeerFrame, target: &mut BytesMut) -> Result<(), PeerError> {
        let signed = self.key.sign(frame.encode_to_vec());
        Ok(self.frames.encode(Bytes::from(signed), target)?)
    }
}
